/** How many VMs with disks a quorum under test has, and how many of them may be lost at once. */
export type QuorumOptions = {
	readonly size: number;
	readonly losses: number;
	/** Whether all disks are empty at the start, and VMs that lost theirs look for a quorum before they start. */
	readonly isForming?: boolean;
};
