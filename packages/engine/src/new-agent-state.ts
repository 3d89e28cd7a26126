import type {AgentState} from './agent-state.js';

/** An agent that has heard nothing yet. */
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
