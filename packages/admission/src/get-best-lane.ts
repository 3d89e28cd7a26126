import {getLane} from './get-lane.js';
import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionLane} from './admission-lane.js';
import type {BestLane} from './best-lane.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

type LaneSearch = {
	readonly target: string;
	/** Requests that may still be sent to upstreams that limit them, by VM. */
	readonly sendsLeft: ReadonlyMap<string, number>;
};

/** Requests in progress that outweigh an upstream in another data centre. */
const REMOTE_PENALTY = 2;

/** Requests in progress that outweigh an upstream that answers nothing. */
const UNANSWERED_PENALTY = 100;

/** Requests in progress that outweigh one recent failure. */
const FAILURE_PENALTY = 4;

const hasCapacity = (lane: AdmissionLane, endpoint: AdmissionEndpoint): boolean => endpoint.places === undefined ? lane.credits.length > 0 : lane.inProgress < endpoint.places;

const isUsable = (lane: AdmissionLane, endpoint: AdmissionEndpoint, target: string, now: number): boolean => {
	const isProbing = lane.ejections > 0 && lane.inProgress > 0;
	return hasCapacity(lane, endpoint) && now >= lane.ejectedUntil && !isProbing && now >= (lane.avoided.get(target) ?? 0);
};

const isUnanswered = (lane: AdmissionLane, settings: AdmissionSettings, now: number): boolean => {
	const {unansweredSince} = lane;
	return settings.unansweredMs !== undefined && unansweredSince !== undefined && now - unansweredSince > settings.unansweredMs;
};

const getScore = (lane: AdmissionLane, endpoint: AdmissionEndpoint, settings: AdmissionSettings, now: number): number => {
	const remotePenalty = endpoint.dataCentre === settings.dataCentre ? 0 : REMOTE_PENALTY;
	const unansweredPenalty = isUnanswered(lane, settings, now) ? UNANSWERED_PENALTY : 0;
	return lane.inProgress + (endpoint.othersInProgress ?? 0) + remotePenalty + unansweredPenalty + (lane.failures * FAILURE_PENALTY);
};

/**
 * The agent that gets the next request for a target: the one with least outstanding work as this
 * entry knows it, near ones first. An upstream that failed lately gets one probe at a time.
 */
export const getBestLane = (state: AdmissionState, settings: AdmissionSettings, {target, sendsLeft}: LaneSearch, now: number): BestLane | undefined => {
	let best: BestLane | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const endpoint of state.endpoints.get(target) ?? []) {
		const lane = endpoint.places === undefined ? state.lanes.get(endpoint.vm) : getLane(state, endpoint.vm);
		const isLimitReached = (sendsLeft.get(endpoint.vm) ?? 1) < 1;
		if (!lane || isLimitReached || !isUsable(lane, endpoint, target, now)) {
			continue;
		}

		const score = getScore(lane, endpoint, settings, now);
		if (score < bestScore) {
			best = {vm: endpoint.vm, lane, isDirect: endpoint.places !== undefined};
			bestScore = score;
		}
	}

	return best;
};
