import {getClassShare} from './get-class-share.js';
import {getDispatchIntervalMs} from './get-dispatch-interval-ms.js';
import {getLatestStart} from './get-latest-start.js';
import {getRequestStage} from './get-request-stage.js';
import {isRequestBefore} from './is-request-before.js';
import {REQUEST_STAGE} from './request-stage.js';
import type {AdmissionRequest} from './admission-request.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** True if a waiting request is dispatched before a new one. */
const isAhead = (state: AdmissionState, record: RequestRecord, added: Pick<RequestRecord, 'request' | 'runs'>, now: number): boolean => {
	if (getRequestStage(state, record, now) === REQUEST_STAGE.Late) {
		return false;
	}

	const isServedMore = getClassShare(state, record.request.className, now) > getClassShare(state, added.request.className, now);
	const isEarlier = !isServedMore && getLatestStart(state, record, now) <= getLatestStart(state, added, now);
	return isEarlier && (record.request.team === added.request.team || isRequestBefore(state, record, added));
};

/**
 * Returns the expected wait of a request that joins its target's queue now and is ordered by its latest start, in milliseconds; 0 if there are too few
 * samples for an estimate. Only requests count that will not be overtaken: late ones, those with more time, and those of teams and classes that have
 * received more service go behind it once it is due. So a request is not refused because of a queue that it does not wait for.
 */
export const getRequestWaitMs = (state: AdmissionState, request: AdmissionRequest, now: number): number => {
	const intervalMs = getDispatchIntervalMs(state, request.target);
	if (intervalMs === 0) {
		return 0;
	}

	const ahead = (state.queues.get(request.target) ?? []).filter(record => isAhead(state, record, {request, runs: 0}, now));
	return intervalMs * ahead.length;
};
