/** Timing of leases, in milliseconds. */
export type MembershipSettings = {
	/** A VM or entry that is silent for longer gets no new work. */
	readonly leaseMs: number;
	/** A VM that is silent for longer is taken as gone and its replicas as free; 0 waits for proof instead. */
	readonly assumeLostMs: number;
};
