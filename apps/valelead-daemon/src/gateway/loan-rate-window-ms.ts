/** The time over which loans are counted, in milliseconds: that over which a limit is kept. */
export const LOAN_RATE_WINDOW_MS = 4000;
