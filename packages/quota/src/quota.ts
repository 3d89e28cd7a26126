import type {QuotaUnitValue} from './quota-unit-value.js';

/** Rate limit of one subject over all processes. A subject is whatever is counted under one name, such as a team. */
export type Quota = {
	readonly unit: QuotaUnitValue;
	/** Sustained rate in units per second. */
	readonly perSecond: number;
	/** Units that may be used at once beyond the sustained rate. */
	readonly burst: number;
	/** Cost in tokens of a request that does not state its tokens, for quotas in tokens. */
	readonly plainTokens: number;
};
