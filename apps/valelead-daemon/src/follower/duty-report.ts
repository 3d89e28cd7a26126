import type {EndedLease, HeldLease} from '@valelead/protocol';

/** What a process reports to the leader about its order leases and about the engines to which it could send orders. */
export type DutyReport = {
	/** Addresses of the engines to which the process could send orders. */
	readonly attendedEngines: string[];
	/** Address at which the process takes load requests for the engines that it manages. */
	readonly keeperAddress: string;
	/** True if the process is shutting down. */
	readonly isStopping: boolean;
	readonly leases: Array<Pick<HeldLease, 'engineAddress' | 'fence' | 'startsInMs'>>;
	readonly endedLeases: Array<Pick<EndedLease, 'engineAddress' | 'agoMs'>>;
};
