/** The voters that a quorum needs so that a majority is left, and holds all that was acknowledged, after the loss of some at once. */
export const getLeastVoters = (losses: number): number => (2 * losses) + 1;
