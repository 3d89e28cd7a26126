import type {UnitDemand} from './unit-demand.js';

/** What an entry says of its work in a heartbeat. */
export type EntryReport = {
	readonly vm: string;
	/** The revision in force at the entry, -1 before the first. */
	readonly revision: number;
	readonly demands: readonly UnitDemand[];
	readonly inProgress: number;
	readonly waiting: number;
};
