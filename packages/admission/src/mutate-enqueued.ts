import {getTeamUsage} from './get-team-usage.js';
import {mutateWaitingCount} from './mutate-waiting-count.js';
import {mutateWaitingRetries} from './mutate-waiting-retries.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Adds a request to its target's queue. A team that was idle starts at the current virtual time, so that it gets no credit for its idle time. */
export const mutateEnqueued = (state: AdmissionState, record: RequestRecord): void => {
	const usage = getTeamUsage(state, record.request.team);
	if (usage.waiting === 0) {
		usage.virtualTime = Math.max(usage.virtualTime, state.virtualTime);
	}

	const queue = state.queues.get(record.request.target) ?? [];
	queue.push(record);
	state.queues.set(record.request.target, queue);
	state.nextDeadlineAt = Math.min(state.nextDeadlineAt, record.request.deadlineAt);
	mutateWaitingCount(state, record, 1);
	mutateWaitingRetries(state, record, 1);
};
