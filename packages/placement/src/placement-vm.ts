import type {PlacementReplica} from './placement-replica.js';

/** A VM as the placement sees it. */
export type PlacementVm = {
	readonly name: string;
	readonly memoryBytes: number;
	/** Whether new replicas may be granted: its lease holds and it is neither drained nor leaving. */
	readonly isOpen: boolean;
	/** Whether its replicas are to be given up. */
	readonly isDrained: boolean;
	readonly inProgress: number;
	readonly capacity: number;
	/** Units whose checkpoints lie on the VM's disk. */
	readonly cached: ReadonlySet<string>;
	readonly replicas: readonly PlacementReplica[];
};
