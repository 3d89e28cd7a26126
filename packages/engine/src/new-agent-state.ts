import type {AgentState} from './agent-state.js';

/** Returns the state of an agent that has received neither orders nor an engine status yet. */
export const newAgentState = (): AgentState => ({
	units: new Map(),
	credits: new Map(),
	lanes: new Map(),
	attempts: new Map(),
	released: new Set(),
	status: undefined,
	revision: 0,
	isDrained: false,
	isStopping: false,
	hasOrders: false,
	confirmedAt: Number.NEGATIVE_INFINITY,
	inProgress: 0,
	nextCredit: 1,
});
