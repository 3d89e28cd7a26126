/** Share of a bucket's capacity that is divided among the rate loans, so that units which borrowers accumulate are part of the bucket. */
export const RATE_CAPACITY_SHARE = 0.8;
