import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Returns the request of an attempt, or undefined if the request has ended or the attempt is no longer its current one. */
export const getCurrentRequest = (state: AdmissionState, requestId: string, attemptId: string): RequestRecord | undefined => {
	const record = state.requests.get(requestId);
	return record?.attemptId === attemptId && record.state !== 'waiting' ? record : undefined;
};
