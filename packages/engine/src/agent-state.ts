import type {AgentUnit} from './agent-unit.js';
import type {UpstreamStatus} from './upstream-status.js';

/** A credit that the agent issued to an entry and that is neither spent nor expired. */
type IssuedCredit = {
	readonly entry: string;
	readonly expiresAt: number;
};

/** The number of requests that a connected entry wants to send, and its outstanding credits. */
type Lane = {
	wanted: number;
	readonly credits: Set<string>;
};

/** An attempt that the agent accepted, and whether it has ended. */
type AcceptedAttempt = {
	readonly unit: string;
	isEnded: boolean;
	readonly acceptedAt: number;
};

/** The state of the agent of one VM, on which all its decisions are based: about loads, credits and requests. */
export type AgentState = {
	readonly units: Map<string, AgentUnit>;
	readonly credits: Map<string, IssuedCredit>;
	readonly lanes: Map<string, Lane>;
	/** Accepted attempts, oldest first. Ended attempts are kept so that an entry can query their outcome. */
	readonly attempts: Map<string, AcceptedAttempt>;
	/** Ids of grants whose memory is known to be free, kept until the leader has released the grants. */
	readonly released: Set<string>;
	status: UpstreamStatus | undefined;
	revision: number;
	isDrained: boolean;
	isStopping: boolean;
	/** True once the agent has received orders since its start. */
	hasOrders: boolean;
	/** When the agent sent the newest request that the leader answered, in monotonic milliseconds. */
	confirmedAt: number;
	inProgress: number;
	nextCredit: number;
};
