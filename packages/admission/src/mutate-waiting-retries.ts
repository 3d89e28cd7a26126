import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Counts a request that is queued (1) or removed from its queue (-1) among the waiting retries of its budget, if its retry is charged. */
export const mutateWaitingRetries = ({waitingRetries}: AdmissionState, {request, isRetryCharged}: RequestRecord, change: 1 | -1): void => {
	if (isRetryCharged) {
		const name = request.retryBudget ?? '';
		waitingRetries.set(name, (waitingRetries.get(name) ?? 0) + change);
	}
};
