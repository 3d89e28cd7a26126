/**
 * The value of a load doubles each time this period passes while requests wait for its model, in milliseconds. This prevents starvation:
 * a load from the weight store overtakes loads from copies after six to eight periods.
 */
const DOUBLING_MS = 2500;

/** The factor by which the value of a load grows because requests have been waiting for its model for `waitMs` milliseconds. */
export const getAgingFactor = (waitMs: number): number => 2 ** (waitMs / DOUBLING_MS);
