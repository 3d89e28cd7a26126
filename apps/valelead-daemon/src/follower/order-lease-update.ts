import type {HeldLease} from '@valelead/protocol';

/** What an update of the leader says about the order leases of the process that receives it. */
export type OrderLeaseUpdate = {
	/** All order leases of the process. */
	readonly leases: readonly HeldLease[];
	/** Time until a sidecar may send orders to its engine, in milliseconds. */
	readonly ordersFromMs: number;
	/** Time until the leader knows whether another process may still hold an order lease for the sidecar's engine, in milliseconds. */
	readonly holdersKnownInMs: number;
	/** When the process made the report to which the update replies, in its own monotonic milliseconds. */
	readonly reportedAt: number;
};
