import type {CrashWatch} from './crash-watch.js';
import type {WatchedRun} from './watched-run.js';

/** Marks a watched run as ended; returns the run, or undefined if it is not watched or was already marked. */
export const mutateEndedRun = (watch: CrashWatch, runId: string): WatchedRun | undefined => {
	const run = watch.runs.get(runId);
	if (!run || run.isCrashed) {
		return undefined;
	}

	run.isCrashed = true;
	return run;
};
