import type {AdmissionLane} from './admission-lane.js';

/** Records that a VM has answered one of its requests, which restarts the time measured for its other requests in progress. */
export const mutateLaneAnswered = (lane: AdmissionLane, now: number): void => {
	lane.unansweredSince = lane.inProgress > 1 ? now : undefined;
	lane.unstartedAt = undefined;
};
