import {mutateLaneFailure} from './mutate-lane-failure.js';
import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

const isUnresponsive = ({isDirect, unansweredSince, ejectedUntil}: AdmissionLane, darkMs: number, now: number): boolean =>
	isDirect && now >= ejectedUntil && unansweredSince !== undefined && now - unansweredSince > darkMs;

/**
 * Leaves out the upstreams that answer nothing any more. A machine without power takes what is sent on open connections
 * and says nothing, for some seconds until it is missed in the directory; what comes meanwhile is better kept for others.
 */
export const mutateUnresponsiveLanes = (state: AdmissionState, settings: AdmissionSettings, now: number): void => {
	if (settings.darkMs === undefined) {
		return;
	}

	for (const lane of state.lanes.values()) {
		if (isUnresponsive(lane, settings.darkMs, now)) {
			mutateLaneFailure(lane, settings, {isUnreachable: true}, now);
			lane.unansweredSince = now;
		}
	}
};
