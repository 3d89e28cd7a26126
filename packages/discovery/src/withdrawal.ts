import type {Upstream} from './upstream.js';

/** The declaration of a run that it is draining or has departed, as the replicated log keeps it. */
export type Withdrawal = {
	/** The run in its declared state, without models and copies. */
	readonly upstream: Upstream;
	/** When the declaration was committed, in Unix milliseconds by the clock of the leader of that time. */
	readonly at: number;
};
