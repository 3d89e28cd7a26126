import type {Voter} from './voter.js';

/** A snapshot of the state machine, which replaces the log entries up to an index. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly voters: readonly Voter[];
	/** State of the state machine, as JSON. */
	readonly data: string;
};
