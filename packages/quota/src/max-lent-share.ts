/**
 * Maximum share of the bucket capacity that is lent at any time. A new leader does not know what the previous leader lent, so it lends no more
 * than the rest until all previous loans have expired.
 */
export const MAX_LENT_SHARE = 0.75;
