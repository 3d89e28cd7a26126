import {mutateWaitingCount} from './mutate-waiting-count.js';
import {mutateWaitingRetries} from './mutate-waiting-retries.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Removes a request from its target's queue. */
export const mutateDequeued = (state: AdmissionState, record: RequestRecord): void => {
	const queue = state.queues.get(record.request.target) ?? [];
	queue.splice(queue.indexOf(record), 1);
	if (queue.length === 0) {
		state.queues.delete(record.request.target);
	}

	mutateWaitingCount(state, record, -1);
	mutateWaitingRetries(state, record, -1);
};
