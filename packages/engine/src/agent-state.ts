import type {AgentUnit} from './agent-unit.js';
import type {UpstreamStatus} from './upstream-status.js';

/** What an agent knows of a credit that it issued. */
type IssuedCredit = {
	readonly entry: string;
	readonly expiresAt: number;
};

/** One connected entry. */
type Lane = {
	wanted: number;
	readonly credits: Set<string>;
};

/** An attempt that was accepted. */
type AcceptedAttempt = {
	readonly unit: string;
	isEnded: boolean;
	readonly acceptedAt: number;
};

/** The state of an agent: what is decided about one VM is decided here. */
export type AgentState = {
	readonly units: Map<string, AgentUnit>;
	readonly credits: Map<string, IssuedCredit>;
	readonly lanes: Map<string, Lane>;
	/** Accepted attempts, oldest first; kept after their end so that their outcome can be asked for. */
	readonly attempts: Map<string, AcceptedAttempt>;
	/** Grants whose memory is proved free, until the leader has released them. */
	readonly released: Set<string>;
	status: UpstreamStatus | undefined;
	revision: number;
	isDrained: boolean;
	isStopping: boolean;
	/** Whether orders were received since the start. */
	hasOrders: boolean;
	/** When the agent last asked the leader something that was answered. */
	confirmedAt: number;
	inProgress: number;
	nextCredit: number;
};
