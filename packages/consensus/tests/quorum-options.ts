/** The number of VMs in a simulated quorum, and the number of disks that it may lose at the same time. */
export type QuorumOptions = {
	readonly size: number;
	readonly losses: number;
	/** True if all disks are empty at the start, and a VM that lost its disk looks for a quorum before it starts. */
	readonly isForming?: boolean;
};
