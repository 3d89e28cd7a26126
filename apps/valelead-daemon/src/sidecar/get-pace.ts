import type {LoadInProgress} from './load-in-progress.js';

/** Paces are rounded down to multiples of this, so that the passing of time alone does not change the summary. */
const PACE_STEP = 0.25;

/**
 * Returns the elapsed time of a fetch from the weight store relative to its configured load time. The result is at least one step, which
 * distinguishes fetches from loads of other sources; those have pace 0.
 */
export const getPace = ({startedAt, endsAt, isFetch}: LoadInProgress, now: number): number => {
	if (!isFetch) {
		return 0;
	}

	const steps = Math.floor((now - startedAt) / (endsAt - startedAt) / PACE_STEP);
	return Math.max(1, steps) * PACE_STEP;
};
