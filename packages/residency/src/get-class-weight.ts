/**
 * Requests of a class that outweigh one of the class above it. The platform states an order of classes and no weights; on
 * the users' sheets a request of one rank is worth from one and a half to nine times one of the next.
 */
const RANK_WEIGHT_RATIO = 4;

/** What one request counts in the choice of loads, by the rank of its class; 0 is the highest rank. */
export const getClassWeight = (rank: number): number => RANK_WEIGHT_RATIO ** -rank;
