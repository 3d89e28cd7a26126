import type {AgentGrant} from './agent-grant.js';

/** What the leader wants of a VM at a revision. */
export type AgentOrders = {
	readonly revision: number;
	readonly isDrained: boolean;
	readonly grants: readonly AgentGrant[];
};
