import type {RateStock} from './rate-stock.js';

/** Rate loans of a process from one session with a leader. */
export type SessionRates = {
	/** Term of the leader; -1 before its first answer. */
	readonly term: number;
	/** Rate loans by subject. */
	readonly subjects: Map<string, RateStock>;
	/** When the rate loans expire, in monotonic milliseconds of the borrower. */
	validUntil: number;
};
