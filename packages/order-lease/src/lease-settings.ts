/** Times of order leases, in milliseconds. */
export type LeaseSettings = {
	/** The minimum time between the last order of one lease holder and the first order of the next, so that delayed orders arrive before it. */
	readonly orderGapMs: number;
};
