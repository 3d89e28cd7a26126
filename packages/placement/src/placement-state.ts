import type {UsageHistory} from './usage-history.js';
import type {LoadRecord} from './load-record.js';

/** The state that the placement keeps between rounds. */
export type PlacementState = {
	/** Usage histories by unit key. */
	readonly histories: Map<string, UsageHistory>;
	/** Loads in progress by load key, which names the unit and the VM. */
	readonly loads: Map<string, LoadRecord>;
	/** The tokens left for starting loads from the weight store; may be fractional. */
	startTokens: number;
	/** The last time at which the tokens were refilled, in monotonic milliseconds. */
	tokensRefilledAt: number;
	/** The measured load times from the weight store and from a VM's disk, in milliseconds per GiB. */
	storeMsPerGib: number;
	diskMsPerGib: number;
};
