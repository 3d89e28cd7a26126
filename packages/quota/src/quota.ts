import type {QuotaUnitValue} from './quota-unit-value.js';

/** What may be asked over all processes together, by a subject: whoever is counted under one name, such as a team. */
export type Quota = {
	readonly unit: QuotaUnitValue;
	/** Units a second, in the long run. */
	readonly perSecond: number;
	/** Units beyond that at any moment. */
	readonly burst: number;
	/** What a request that names no tokens counts, where tokens are counted. */
	readonly plainTokens: number;
};
