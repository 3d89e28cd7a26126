import {getLane} from './get-lane.js';
import {getTeamUsage} from './get-team-usage.js';
import {mutateDequeued} from './mutate-dequeued.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Takes a request out of the queue or from its upstream. */
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
