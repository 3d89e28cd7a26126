import type {AdmissionLane} from './admission-lane.js';

/** Notes that the upstream of a lane has answered one of its requests. */
export const mutateLaneAnswered = (lane: AdmissionLane, now: number): void => {
	lane.unansweredSince = lane.inProgress > 1 ? now : undefined;
};
