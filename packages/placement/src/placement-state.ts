import type {UsageHistory} from './usage-history.js';
import type {LoadRecord} from './load-record.js';

/** What the placement remembers between decisions. */
export type PlacementState = {
	readonly histories: Map<string, UsageHistory>;
	/** Loads by unit and VM. */
	readonly loads: Map<string, LoadRecord>;
	/** Load starts that are left in the current second, may be fractional. */
	startTokens: number;
	tokensRefilledAt: number;
	/** Measured milliseconds to load one GiB: from the weight store and from the VM's disk. */
	storeMsPerGib: number;
	diskMsPerGib: number;
};
