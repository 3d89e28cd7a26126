import type {OrderLease} from './order-lease.js';

/** What one leadership knows of leases. Times are monotonic milliseconds. */
export type LeaseState = {
	/** The leadership's term; fences of later terms are higher. */
	readonly term: number;
	readonly startedAt: number;
	/** Leases by engine address. */
	readonly leases: Map<string, OrderLease>;
	/** Engines beside which a sidecar runs or has run; they are left to it. */
	readonly attended: Set<string>;
	/** When holders gave up engines under leases of earlier leaders, by engine address. */
	readonly ended: Map<string, number>;
	/** Since when each engine that is here now has been known. */
	readonly firstSeenAt: Map<string, number>;
	/** Leases that were granted in this term. */
	grantedCount: number;
};
