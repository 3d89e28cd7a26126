import type {CrashWatch} from './crash-watch.js';

/**
 * Time for which a run is watched after its first broken connection, in milliseconds. An upstream that crashed restarts and announces itself
 * within some seconds; a run that has not ended by then has only lost some connections.
 */
const WATCH_MS = 10_000;

/** Stops watching runs that did not end within `WATCH_MS`. */
export const mutateExpiredWatches = (watch: CrashWatch, now: number): void => {
	for (const [runId, run] of watch.runs) {
		if (!run.isCrashed && now - run.since > WATCH_MS) {
			watch.runs.delete(runId);
		}
	}
};
