import type {AdmissionLane} from './admission-lane.js';

/** The VM that receives the next request of a target. */
export type BestLane = {
	readonly vm: string;
	readonly lane: AdmissionLane;
	/** True if the upstream is reached directly, so that the dispatch needs no credit of an agent. */
	readonly isDirect: boolean;
};
