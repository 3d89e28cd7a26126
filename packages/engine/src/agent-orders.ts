import type {AgentGrant} from './agent-grant.js';

/** The grants and the drain state that the leader has decided for a VM, as of a revision of the configuration. */
export type AgentOrders = {
	readonly revision: number;
	readonly isDrained: boolean;
	readonly grants: readonly AgentGrant[];
};
