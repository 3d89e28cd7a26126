import {getLane} from './get-lane.js';
import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionState} from './admission-state.js';

const hasCapacity = (lane: AdmissionLane, endpoint: AdmissionEndpoint): boolean => endpoint.concurrencyLimit === undefined ? lane.credits.length > 0 : lane.inProgress < endpoint.concurrencyLimit;

const isUsable = (lane: AdmissionLane, endpoint: AdmissionEndpoint, target: string, now: number): boolean => {
	const isProbing = lane.ejections > 0 && lane.inProgress > 0;
	return hasCapacity(lane, endpoint) && now >= lane.ejectedUntil && !isProbing && now >= (lane.avoided.get(target) ?? 0);
};

/**
 * Returns the lane of an upstream if it can take a request of a target now, or undefined.
 * @param sendsLeft - The number of requests that may still be sent to each upstream that limits its request rate, by VM.
 */
export const getUsableLane = (state: AdmissionState, endpoint: AdmissionEndpoint, target: string, sendsLeft: ReadonlyMap<string, number>, now: number): AdmissionLane | undefined => {
	const lane = endpoint.concurrencyLimit === undefined ? state.lanes.get(endpoint.vm) : getLane(state, endpoint.vm);
	const isLimitReached = (sendsLeft.get(endpoint.vm) ?? 1) < 1;
	return lane && !isLimitReached && isUsable(lane, endpoint, target, now) ? lane : undefined;
};
