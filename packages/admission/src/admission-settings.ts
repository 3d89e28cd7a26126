import type {LaneCost} from './lane-cost.js';
import type {SendLimit} from './send-limit.js';

/** The limits and timing of an entry's admission. Times in milliseconds. */
export type AdmissionSettings = {
	/** The maximum number of dispatches of one request. */
	readonly maxAttempts: number;
	/** The retry tokens that each new request adds to its retry budget; a retry after a failure of an upstream costs one token. */
	readonly retryTokensPerRequest: number;
	/** The maximum number of tokens in each retry budget. */
	readonly maxRetryTokens: number;
	/** The tokens that each retry budget receives when it opens, less those that it spent before. */
	readonly initialRetryTokens?: number;
	/** The monotonic time at which retry budgets open and receive their initial tokens; at once if absent. If it changes, all budgets are reset. */
	readonly initialRetryTokensAt?: number;
	/** True if a retry also costs a token when the upstream refused the request before running it. */
	readonly isRefusalCharged?: boolean;
	/** The number of consecutive failures after which an upstream is ejected, that is, gets no requests until its ejection time has passed. */
	readonly failuresBeforeEjection: number;
	/** The time of an upstream's first ejection; each further ejection without a success in between lasts twice as long, unless a rejection caused it. */
	readonly baseEjectionMs: number;
	readonly maxEjectionMs: number;
	/** The time for which a target's requests are not sent to an upstream that has refused one of them. */
	readonly refusedTargetAvoidMs: number;
	/** The time before the expiry of a credit in which it is no longer used. */
	readonly creditMarginMs: number;
	/** An upstream that has answered none of the entry's requests for this time is used only if no other one can serve; absent for no such check. */
	readonly deprioritiseAfterMs?: number;
	/**
	 * An upstream that has answered none of the entry's requests for this time is ejected, even if no other one can serve;
	 * absent for no such check.
	 */
	readonly ejectUnresponsiveAfterMs?: number;
	/** True while responses that arrived during a stall of the process may not have been read; absent for false. */
	readonly isInputUnread?: boolean;
	/** The limits of the upstreams that limit their request rate, by VM; absent if none does. */
	readonly sendLimits?: ReadonlyMap<string, SendLimit>;
	/**
	 * True if waiting requests are ordered by the time at which they must start to meet their latency objectives, and are refused once their callers
	 * leave before they can be answered; absent for the order by rank alone.
	 */
	readonly isOrderedByLatestStart?: boolean;
	/**
	 * True if, among requests ordered by their latest start, those of classes that got a smaller share of their demand go first; absent for the latest start
	 * alone.
	 */
	readonly areClassesBalanced?: boolean;
	/** Gives the cost of each upstream for a request; absent if upstreams are compared by their requests in progress only. */
	readonly getLaneCost?: LaneCost;
	/** The data centre of the entry. */
	readonly dataCentre: string;
};
