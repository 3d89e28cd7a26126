import type {Voter} from './voter.js';

/** The state that replaces the log up to an index. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly voters: readonly Voter[];
	/** The state machine as JSON. */
	readonly data: string;
};
