import type {UnitDemand} from './unit-demand.js';

/** The heartbeat of an entry: its demand and its current work. */
export type EntryReport = {
	readonly vm: string;
	/** Revision of the configuration that the entry has applied, or -1 if it has none yet. */
	readonly revision: number;
	readonly demands: readonly UnitDemand[];
	readonly inProgress: number;
	readonly waiting: number;
};
