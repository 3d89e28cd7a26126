/** How many of the given number of voters may be lost at once while the rest is still a majority. */
export const getBorneLosses = (voterCount: number): number => Math.max(0, Math.ceil(voterCount / 2) - 1);
