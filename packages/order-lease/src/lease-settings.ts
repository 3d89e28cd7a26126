/** Times of order leases, in milliseconds. */
export type LeaseSettings = {
	/** Between the last order of one holder of an engine and the first of the next, so that late orders of the first are over. */
	readonly orderGapMs: number;
};
