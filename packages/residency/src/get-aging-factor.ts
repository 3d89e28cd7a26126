/**
 * A load counts twice as much for each such time that requests have waited for its model, in milliseconds, so that none
 * waits for ever: a load from the weight store catches up with those from copies after six to eight of them.
 */
const DOUBLING_MS = 2500;

/** How many times as much a load counts for the time that requests have waited for its model, in milliseconds. */
export const getAgingFactor = (wantedMs: number): number => 2 ** (wantedMs / DOUBLING_MS);
