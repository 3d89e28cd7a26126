import type {HeldLease} from './held-lease.js';

/** A process that can hold leases, as its last report told. */
export type LeaseCandidate = {
	readonly vm: string;
	/** When it was heard last, in the leader's monotonic milliseconds. */
	readonly heardAt: number;
	/** Whether it was told to stop, and ends soon. */
	readonly isStopping: boolean;
	/** The leases that it holds and that are still valid by its own clock. */
	readonly held: readonly HeldLease[];
};
