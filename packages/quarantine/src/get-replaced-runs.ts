import type {CrashWatch} from './crash-watch.js';

/** A run of an upstream that announces itself at present. */
type AnnouncedRun = {
	/** Run id. */
	readonly id: string;
	readonly address: string;
};

/** Returns the ids of the watched runs that have ended because another run announces itself at their address. */
export const getReplacedRuns = (watch: CrashWatch, announcedRuns: Iterable<AnnouncedRun>): string[] => {
	if (watch.runs.size === 0) {
		return [];
	}

	const runs = [...announcedRuns];
	const announcedIds = new Set(runs.map(run => run.id));
	const addresses = new Set(runs.map(run => run.address));
	return [...watch.runs.values()]
		.filter(run => !run.isCrashed && !announcedIds.has(run.runId) && addresses.has(run.address))
		.map(run => run.runId);
};
