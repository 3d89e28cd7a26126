import type {SendLimit} from './send-limit.js';

/** Limits and timing of an entry. Times in milliseconds. */
export type AdmissionSettings = {
	/** Dispatches of one request at most. */
	readonly maxAttempts: number;
	/** Retries earned by each new request; a retry after a failed upstream costs one. */
	readonly retryShare: number;
	/** Retries that can be saved up, in each budget. */
	readonly maxRetryTokens: number;
	/** Retries that each budget starts with, less what it has spent before it is opened. */
	readonly initialRetryTokens?: number;
	/** From when on budgets have their initial retries, on the monotonic clock; left out for at once. Another time begins all budgets anew. */
	readonly initialRetriesAt?: number;
	/** Whether a dispatch that was refused before it ran costs a retry as well. */
	readonly isRefusalBudgeted?: boolean;
	/** Failures in a row after which an upstream is left out for a while. */
	readonly ejectAfter: number;
	readonly ejectMs: number;
	readonly maxEjectMs: number;
	/** A refused upstream is not tried again for the same target for this long. */
	readonly avoidMs: number;
	/** A credit is not used in the last part of its time. */
	readonly creditMarginMs: number;
	/** An upstream without any answer to the entry's requests for this long is passed over where another one can serve; undefined to not look. */
	readonly unansweredMs?: number;
	/**
	 * An upstream that has left all requests of the entry without any answer for this long is left out for a while, also
	 * where no other one can serve; undefined to not look.
	 */
	readonly darkMs?: number;
	/** The upstreams that limit the requests that they take, by VM; left out where none does. */
	readonly sendLimits?: ReadonlyMap<string, SendLimit>;
	/** The data centre of the entry. */
	readonly dataCentre: string;
};
