import {mutateLaneFailure} from './mutate-lane-failure.js';
import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

const isUnresponsive = ({isDirect, unansweredSince, ejectedUntil}: AdmissionLane, silenceMs: number, now: number): boolean =>
	isDirect && now >= ejectedUntil && unansweredSince !== undefined && now - unansweredSince > silenceMs;

/**
 * Ejects upstreams that no longer answer any request. A machine that lost power leaves requests on open connections unanswered, and it takes
 * some seconds until the directory removes the machine. Requests that arrive in the meantime are better sent to other upstreams.
 */
export const mutateUnresponsiveLanes = (state: AdmissionState, settings: AdmissionSettings, now: number): void => {
	if (settings.ejectUnresponsiveAfterMs === undefined || settings.isInputUnread) {
		return;
	}

	for (const lane of state.lanes.values()) {
		if (isUnresponsive(lane, settings.ejectUnresponsiveAfterMs, now)) {
			mutateLaneFailure(lane, settings, {isUnreachable: true}, now);
			lane.unansweredSince = now;
		}
	}
};
