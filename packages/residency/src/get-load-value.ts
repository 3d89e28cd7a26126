import type {Wait} from './wait.js';

/** What a late answer counts against one in time: about the part that the users' sheets state for late answers. */
const LATE_FACTOR = 0.15;

/**
 * What a load counts that is ready only when the caller has left. Others come for the same model, so it is not nothing:
 * without it a busy model that only the weight store keeps would never be loaded.
 */
const ABANDONED_FACTOR = 0.05;

/** From the end of a load to the first event of an answer, in milliseconds: the way to the engine and the reading of a prompt. */
const FIRST_EVENT_MS = 150;

const getTimelinessFactor = ({dueInMs, leavesInMs}: Wait, readyInMs: number): number => {
	if (readyInMs <= dueInMs) {
		return 1;
	}

	return readyInMs <= leavesInMs ? LATE_FACTOR : ABANDONED_FACTOR;
};

/** What the requests that wait for a model count if it is loaded in a time, in weights of requests served in time. */
export const getLoadValue = (waits: readonly Wait[], loadedInMs: number): number => {
	let value = 0;
	for (const wait of waits) {
		value += wait.weight * getTimelinessFactor(wait, loadedInMs + FIRST_EVENT_MS);
	}

	return value;
};
