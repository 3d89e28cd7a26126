import {getLane} from './get-lane.js';
import {getTeamUsage} from './get-team-usage.js';
import {mutateDequeued} from './mutate-dequeued.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Removes a request from its queue, or from the requests in progress of its team and VM. */
export const mutateRequestRelease = (state: AdmissionState, record: RequestRecord): void => {
	if (record.state === 'waiting') {
		mutateDequeued(state, record);
		return;
	}

	getTeamUsage(state, record.request.team).inProgress -= 1;
	const lane = getLane(state, record.vm);
	lane.inProgress -= 1;
	if (lane.inProgress === 0) {
		lane.unansweredSince = undefined;
	}
};
