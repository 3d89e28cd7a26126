/** Time after which a delayed announcement no longer arrives, in milliseconds. Runs that accept no more requests are remembered for this long. */
export const DEPARTURE_RETENTION_MS = 60_000;
