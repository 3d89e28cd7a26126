/**
 * The number of requests of one class that weigh as much as one request of the class above it. The platform ranks classes but gives no
 * weights; in the users' requirements a request is worth from one and a half to nine times one of the next rank.
 */
const RANK_WEIGHT_RATIO = 4;

/** The weight of a request when loads are prioritized, by the rank of its class; 0 is the highest rank. */
export const getClassWeight = (rank: number): number => RANK_WEIGHT_RATIO ** -rank;
