/** Timing of the leases of VMs and entries, in milliseconds. */
export type MembershipSettings = {
	/** A VM or entry that has sent no report for longer gets no new work. */
	readonly leaseMs: number;
	/** A VM that has sent no report for longer is assumed lost, and the memory of its replicas free; with 0, the leader waits for proof instead. */
	readonly assumeLostMs: number;
};
