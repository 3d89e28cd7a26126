/**
 * Crash score from which a request is not retried on a second upstream after a crash: one crash that it shared with at most two other requests. A
 * retry would risk a second upstream before a quarantine decision is possible, so that each attempt of a caller could cost two upstreams.
 */
export const SUSPICION_SCORE = 0.7;
