import {RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import type {AgentSettings} from './agent-settings.js';
import type {AgentState} from './agent-state.js';

/** Returns the result code with which the agent refuses every new request, or undefined if it accepts requests. */
export const getRefusalCode = (state: AgentState, settings: AgentSettings, now: number): ResultCodeValue | undefined => {
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
