import type {HeldLease} from '@valelead/protocol';

/** What the leader grants a process in one update. */
export type DutyGrant = {
	/** All leases of the process. */
	readonly leases: readonly HeldLease[];
	/** Until a sidecar may order its engine, in milliseconds. */
	readonly ordersFromMs: number;
	/** Until the leader knows whether another process gave a sidecar's engine orders before, in milliseconds. */
	readonly holdersKnownInMs: number;
	/** When the process made the report that the update answers, in its own monotonic milliseconds. */
	readonly reportedAt: number;
};
