import {getClassShare} from './get-class-share.js';
import {getLatestStart} from './get-latest-start.js';
import {getRequestStage} from './get-request-stage.js';
import {getResponseForecast} from './get-response-forecast.js';
import {getUsableLane} from './get-usable-lane.js';
import {REQUEST_STAGE} from './request-stage.js';
import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/**
 * A slot is kept free for a class that had a request at the upstream within this time, in milliseconds. With fewer than one request a second, a slot would
 * stay empty for longer than a response takes (0.1 to 1 s).
 */
const RECENT_USE_MS = 1000;

/** True if an upstream has no more than one free slot. Upstreams with credits of an agent grant them by their own rules, and none is kept free. */
const isLastSlot = (state: AdmissionState, {vm, concurrencyLimit}: AdmissionEndpoint): boolean =>
	concurrencyLimit !== undefined && (state.lanes.get(vm)?.inProgress ?? 0) >= concurrencyLimit - 1;

/** Returns the classes that received a smaller share of their demand than that of a request, and whose requests would have to start before it if they came now. */
const getLaggingClasses = (state: AdmissionState, record: RequestRecord, now: number): string[] => {
	const share = getClassShare(state, record.request.className, now);
	const slackMs = getLatestStart(state, record, now) - now;
	return [...state.classServices]
		.filter(([className, {objectiveMs}]) => objectiveMs - getResponseForecast(state, className, now).startMs < slackMs && getClassShare(state, className, now) < share)
		.map(([className]) => className);
};

/**
 * True if a request that can wait leaves the last free slot of each upstream of its target to a class with less time that got a smaller share of its
 * demand recently. Otherwise requests with much time would use every slot that becomes free between two requests that have no time to wait
 * for the next one. Once the request is due, it is not held any longer. A request without a latency objective is never due and is not held.
 * @param sendsLeft - The number of requests that may still be sent to each upstream that limits its request rate, by VM.
 */
export const isHeldForUrgent = (state: AdmissionState, record: RequestRecord, sendsLeft: ReadonlyMap<string, number>, now: number): boolean => {
	const {target, dueAt} = record.request;
	if (dueAt === undefined || getRequestStage(state, record, now) !== REQUEST_STAGE.CanWait) {
		return false;
	}

	const lagging = getLaggingClasses(state, record, now);
	if (lagging.length === 0) {
		return false;
	}

	return state.endpoints.get(target)?.every(endpoint => {
		const lane = getUsableLane(state, endpoint, target, sendsLeft, now);
		const isWanted = lane !== undefined && lagging.some(className => now - (lane.classUses.get(className) ?? Number.NEGATIVE_INFINITY) < RECENT_USE_MS);
		return !lane || (isWanted && isLastSlot(state, endpoint));
	}) === true;
};
