import type {EndedLease, HeldLease} from '@valelead/protocol';

/** What a process tells the leader about engines that it gives orders to, or could. */
export type DutyReport = {
	readonly attendedEngines: string[];
	readonly keeperAddress: string;
	/** Whether the process was told to stop. */
	readonly isStopping: boolean;
	readonly leases: Array<Pick<HeldLease, 'engineAddress' | 'fence' | 'startsInMs'>>;
	readonly endedLeases: Array<Pick<EndedLease, 'engineAddress' | 'agoMs'>>;
};
