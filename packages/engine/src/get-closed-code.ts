import {RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import type {AgentSettings} from './agent-settings.js';
import type {AgentState} from './agent-state.js';

/** Why the agent takes no new work at all, or undefined if it does. */
export const getClosedCode = (state: AgentState, settings: AgentSettings, now: number): ResultCodeValue | undefined => {
	if (state.isStopping || state.isDrained) {
		return RESULT_CODE.Draining;
	}

	if (state.status?.isLeaving) {
		return RESULT_CODE.UpstreamLeaving;
	}

	if (!state.status || now - state.confirmedAt > settings.maxConfigurationAgeMs) {
		return RESULT_CODE.ConfigurationTooOld;
	}

	return undefined;
};
