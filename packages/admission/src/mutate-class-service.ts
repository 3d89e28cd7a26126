import {getServiceDecay} from './get-service-decay.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/**
 * Counts a request for the service that its class receives, if the settings balance classes, and once: when it is first dispatched, when it can no longer be in time or when it is refused. A
 * request that no upstream serves is not counted, as no order among the waiting requests would have helped it.
 */
export const mutateClassService = (state: AdmissionState, {areClassesBalanced}: AdmissionSettings, record: RequestRecord, isInTime: boolean, now: number): void => {
	const {
		className, target, arrivedAt, dueAt,
	} = record.request;
	if (!areClassesBalanced || record.isCounted || (state.endpoints.get(target)?.length ?? 0) === 0) {
		return;
	}

	record.isCounted = true;
	const service = state.classServices.get(className) ?? {
		inTime: 0, decided: 0, objectiveMs: Number.POSITIVE_INFINITY, updatedAt: now,
	};
	const weight = getServiceDecay(now - service.updatedAt);
	service.inTime = (service.inTime * weight) + (isInTime ? 1 : 0);
	service.decided = (service.decided * weight) + 1;
	service.objectiveMs = dueAt === undefined ? Number.POSITIVE_INFINITY : dueAt - arrivedAt;
	service.updatedAt = now;
	state.classServices.set(className, service);
};
