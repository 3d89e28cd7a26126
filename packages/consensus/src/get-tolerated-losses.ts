/** Returns how many voters may fail at once so that the remaining ones are still a majority. */
export const getToleratedLosses = (voterCount: number): number => Math.max(0, Math.ceil(voterCount / 2) - 1);
