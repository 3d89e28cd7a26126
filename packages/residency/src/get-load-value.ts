import type {Wait} from './wait.js';

/** The value of a late response relative to one in time: about the value that the users' requirements give to late responses. */
const LATE_FACTOR = 0.15;

/**
 * The value of a load that ends only after the caller has left, relative to a response in time. It is above zero because further callers
 * will request the model: with zero, a busy model without any local copy would never be loaded from the weight store.
 */
const ABANDONED_FACTOR = 0.05;

/** The time from the end of a load to the first event of a response, in milliseconds: network latency and prompt processing. */
const FIRST_EVENT_MS = 150;

const getTimelinessFactor = ({dueInMs, leavesInMs}: Wait, readyInMs: number): number => {
	if (readyInMs <= dueInMs) {
		return 1;
	}

	return readyInMs <= leavesInMs ? LATE_FACTOR : ABANDONED_FACTOR;
};

/** The value of loading a model within `loadedInMs` to the requests that wait for it, in request weight served in time. */
export const getLoadValue = (waits: readonly Wait[], loadedInMs: number): number => {
	let value = 0;
	for (const wait of waits) {
		value += wait.weight * getTimelinessFactor(wait, loadedInMs + FIRST_EVENT_MS);
	}

	return value;
};
