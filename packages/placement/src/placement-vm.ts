import type {PlacementReplica} from './placement-replica.js';

/** A VM and the replicas granted on it, as input of the placement. */
export type PlacementVm = {
	readonly name: string;
	readonly memoryBytes: number;
	/** True if new replicas may be granted on the VM: its lease is valid and it is neither drained nor leaving. */
	readonly isSchedulable: boolean;
	/** True if all replicas on the VM are to be revoked. */
	readonly isDrained: boolean;
	readonly inProgress: number;
	/** The number of requests that the VM can process concurrently. */
	readonly capacity: number;
	/** Keys of the units whose weights are cached on the VM's disk. */
	readonly cached: ReadonlySet<string>;
	readonly replicas: readonly PlacementReplica[];
};
