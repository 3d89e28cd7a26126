/** How many VMs with disks a quorum under test has, and how many of them may be lost at once. */
export type QuorumSite = {
	readonly size: number;
	readonly losses: number;
};
