import type {EndedLease, HeldLease} from '@valelead/protocol';

/** A report to the leader about the order leases of a process and about the engines that have a sidecar. */
export type OrderLeaseReport = {
	/** Addresses of the engines whose own sidecar the process has reached, or beside which it runs. */
	readonly attendedEngines: string[];
	/** Address at which gateways reach the process for the engines that it manages; empty if it takes no order leases. */
	readonly keeperAddress: string;
	/** True if the process is shutting down. */
	readonly isStopping: boolean;
	readonly leases: Array<Pick<HeldLease, 'engineAddress' | 'fence' | 'startsInMs'>>;
	readonly endedLeases: Array<Pick<EndedLease, 'engineAddress' | 'agoMs'>>;
};
