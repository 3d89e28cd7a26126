import {getClassShare} from './get-class-share.js';
import {getLatestStart} from './get-latest-start.js';
import {getRequestStage} from './get-request-stage.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';
import type {RequestWait} from './request-wait.js';

type Waiting = Pick<RequestRecord, 'request' | 'runs' | 'attempts'>;

const getDispatchedBefore = (state: AdmissionState, {target, arrivedAt}: Waiting['request']): ReadonlyMap<string, number> => {
	const vms = new Set(state.endpoints.get(target)?.map(({vm}) => vm));
	const counts = new Map<string, number>();
	for (const {className, vm, at} of state.recentDispatches) {
		if (at >= arrivedAt && vms.has(vm)) {
			counts.set(className, (counts.get(className) ?? 0) + 1);
		}
	}

	return counts;
};

/**
 * Returns how a request has waited until now. Undefined if requests are not ordered by their latest start, and for a request that was dispatched before, as
 * it has not waited since its arrival.
 * @param isRefused - True if the request is refused now, false if it is dispatched.
 */
export const newRequestWait = (state: AdmissionState, {isOrderedByLatestStart}: AdmissionSettings, record: Waiting, isRefused: boolean, now: number): RequestWait | undefined => {
	const {request, attempts} = record;
	if (!isOrderedByLatestStart || attempts > 0) {
		return undefined;
	}

	const overdueMs = request.dueAt === undefined ? undefined : now - getLatestStart(state, record, now);
	const isOverdue = isRefused || (overdueMs !== undefined && overdueMs > 0);
	return {
		team: request.team,
		className: request.className,
		target: request.target,
		stage: getRequestStage(state, record, now),
		waitedMs: now - request.arrivedAt,
		overdueMs,
		classShare: getClassShare(state, request.className, now),
		waiting: state.queues.get(request.target)?.length ?? 0,
		dispatchedBefore: isOverdue ? getDispatchedBefore(state, request) : undefined,
	};
};
