import type {AgentState} from './agent-state.js';

/** Records how many requests an entry wants to send. */
export const mutateLane = (state: AgentState, entry: string, wanted: number): void => {
	const lane = state.lanes.get(entry);
	if (lane) {
		lane.wanted = wanted;
		return;
	}

	state.lanes.set(entry, {wanted, credits: new Set()});
};
