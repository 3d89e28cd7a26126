import {mutateRequestRelease} from './mutate-request-release.js';
import {mutateRequestState} from './mutate-request-state.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Ends a request and removes its record, so that later events of the request are ignored. */
export const mutateRequestEnd = (state: AdmissionState, record: RequestRecord, event: string): void => {
	mutateRequestRelease(state, record);
	mutateRequestState(record, event);
	state.requests.delete(record.request.requestId);
};
