import type {CrashWatch} from './crash-watch.js';

type AnnouncedRun = {
	/** Names the run. */
	readonly id: string;
	readonly address: string;
};

/** The watched runs at whose address another run has announced itself: they have ended. */
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
