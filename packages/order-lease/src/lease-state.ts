import type {OrderLease} from './order-lease.js';

/** The state of the order leases of one leader's term. Times are monotonic milliseconds. */
export type LeaseState = {
	/** The leader's term; fencing tokens of later terms are higher. */
	readonly term: number;
	readonly startedAt: number;
	/** Leases by engine address. */
	readonly leases: Map<string, OrderLease>;
	/** Addresses of engines that have or had a sidecar; no leases are granted for them. */
	readonly enginesWithSidecar: Set<string>;
	/** When holders released engines that they had leased from earlier leaders, by engine address. */
	readonly endedAt: Map<string, number>;
	/** When each engine that currently announces itself was first seen, by engine address. */
	readonly firstSeenAt: Map<string, number>;
	/** The number of leases granted in this term. */
	grantedCount: number;
};
