/** Changes that a quorum acknowledges, and the faults that follow; the VMs are named by their positions. */
export type QuorumRound = {
	/** Number of changes, which are proposed at the leader. */
	readonly changes: number;
	/** Time between the changes, in milliseconds. */
	readonly gapMs: number;
	/** A VM that receives and sends nothing until the faults; undefined if there is none. */
	readonly isolated: number | undefined;
	/** True if all processes are killed, and start again with their disks, before the last change. */
	readonly isRestarted: boolean;
	/** True if the leader transfers leadership before the last change. */
	readonly isTransferred: boolean;
	/** Time from the last change to the faults, in milliseconds. */
	readonly delayMs: number;
	/** VMs that lose their disks. */
	readonly lost: readonly number[];
	/** True if all other VMs lose their power at the same moment; false if their processes are killed. */
	readonly isPowerLost: boolean;
	/** Time until each VM starts again, in milliseconds. */
	readonly startMs: readonly number[];
};
