/** Sliding window over which loans are counted, in milliseconds: the window over which an upstream's rate limit is enforced. */
export const LOAN_RATE_WINDOW_MS = 4000;
