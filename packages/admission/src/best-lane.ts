import type {AdmissionLane} from './admission-lane.js';

/** The agent or upstream that gets the next request of a target. */
export type BestLane = {
	readonly vm: string;
	readonly lane: AdmissionLane;
	/** Whether the dispatch needs no credit of an agent. */
	readonly isDirect: boolean;
};
