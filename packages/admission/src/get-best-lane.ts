import {getAllowedEndpoints} from './get-allowed-endpoints.js';
import {getUsableLane} from './get-usable-lane.js';
import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionLane} from './admission-lane.js';
import type {BestLane} from './best-lane.js';
import type {LaneLoads} from './lane-loads.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

type LaneSearch = {
	readonly record: Pick<RequestRecord, 'request' | 'vm' | 'reachedVms'>;
	/** The number of requests that may still be sent to each upstream that limits its request rate, by VM. */
	readonly sendsLeft: ReadonlyMap<string, number>;
};

/** Penalty of an upstream in another data centre, in requests in progress. */
const REMOTE_PENALTY = 2;

/** Penalty of an upstream that has left all requests unanswered for the time in the settings, in requests in progress. */
const UNANSWERED_PENALTY = 100;

/**
 * Penalty of an upstream at which an attempt could not be started lately, in requests in progress. Its places stay free, so that it would draw all requests
 * otherwise. It remains usable, as the request may have been the cause.
 */
const UNSTARTED_PENALTY = 100;

/** Time for which this penalty holds, in milliseconds. */
const UNSTARTED_PENALTY_MS = 5000;

/** Penalty for each recent failure of an upstream, in requests in progress. */
const FAILURE_PENALTY = 4;

/** Penalty of the upstream at which the last attempt of a request failed, in requests in progress: it is used again only if no other one can serve. */
const PREVIOUS_ATTEMPT_PENALTY = 100;

const getLoads = (state: AdmissionState, {record, sendsLeft}: LaneSearch, now: number): LaneLoads => {
	const loads = new Map<AdmissionEndpoint, number>();
	for (const endpoint of getAllowedEndpoints(state, record)) {
		const lane = getUsableLane(state, endpoint, record.request.target, sendsLeft, now);
		if (lane) {
			loads.set(endpoint, lane.inProgress + (endpoint.otherEntriesInProgress ?? 0));
		}
	}

	return loads;
};

const isUnanswered = (lane: AdmissionLane, settings: AdmissionSettings, now: number): boolean => {
	const {unansweredSince} = lane;
	return settings.deprioritiseAfterMs !== undefined && unansweredSince !== undefined && now - unansweredSince > settings.deprioritiseAfterMs;
};

const getScore = (lane: AdmissionLane, endpoint: AdmissionEndpoint, settings: AdmissionSettings, now: number): number => {
	const remotePenalty = endpoint.dataCentre === settings.dataCentre ? 0 : REMOTE_PENALTY;
	const unansweredPenalty = isUnanswered(lane, settings, now) ? UNANSWERED_PENALTY : 0;
	const unstartedPenalty = now - (lane.unstartedAt ?? Number.NEGATIVE_INFINITY) < UNSTARTED_PENALTY_MS ? UNSTARTED_PENALTY : 0;
	return lane.inProgress + (endpoint.otherEntriesInProgress ?? 0) + remotePenalty + unansweredPenalty + unstartedPenalty + (lane.failures * FAILURE_PENALTY);
};

/**
 * Chooses the VM that receives a request: the one with the fewest requests in progress, as far as this entry knows, with
 * penalties for remote, unanswering and failing upstreams. An upstream that was ejected gets one request at a time until one succeeds.
 * The cost that the settings give each VM for the request is added. Returns undefined if no VM can take the request now.
 */
export const getBestLane = (state: AdmissionState, settings: AdmissionSettings, search: LaneSearch, now: number): BestLane | undefined => {
	const {record, sendsLeft} = search;
	const {request, vm: previousVm} = record;
	const loads = settings.getLaneCost ? getLoads(state, search, now) : undefined;
	if (loads?.size === 0) {
		return undefined;
	}

	const getCost = loads && settings.getLaneCost?.(request, loads);
	let best: BestLane | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const endpoint of loads?.keys() ?? getAllowedEndpoints(state, record)) {
		// The loads contain usable upstreams only.
		const lane = loads ? state.lanes.get(endpoint.vm) : getUsableLane(state, endpoint, request.target, sendsLeft, now);
		if (!lane) {
			continue;
		}

		const previousPenalty = endpoint.vm === previousVm ? PREVIOUS_ATTEMPT_PENALTY : 0;
		const score = getScore(lane, endpoint, settings, now) + previousPenalty + (getCost?.(endpoint) ?? 0);
		if (score < bestScore) {
			best = {vm: endpoint.vm, lane, isDirect: endpoint.concurrencyLimit !== undefined};
			bestScore = score;
		}
	}

	return best;
};
