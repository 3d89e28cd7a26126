import type {ReportedLease} from './reported-lease.js';

/** A process that can hold order leases, according to its last report. */
export type LeaseCandidate = {
	readonly vm: string;
	/** When its last report arrived, in the leader's monotonic milliseconds. */
	readonly reportedAt: number;
	/** True if the process is shutting down and will end soon. */
	readonly isStopping: boolean;
	/** The leases that the process holds and that are still valid by its own clock. */
	readonly leases: readonly ReportedLease[];
};
