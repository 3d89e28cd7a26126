/**
 * Returns the number of voters that a quorum needs so that, after the given number fail at once, a majority remains that has all acknowledged
 * entries.
 */
export const getMinVoters = (losses: number): number => (2 * losses) + 1;
