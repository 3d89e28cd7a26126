import type {PlacementUnit} from './placement-unit.js';
import type {PlacementVm} from './placement-vm.js';

/** The input of one round of placement: all units by key, and all VMs with their replicas. */
export type PlacementView = {
	readonly units: ReadonlyMap<string, PlacementUnit>;
	readonly vms: readonly PlacementVm[];
};
