import type {PlacementUnit} from './placement-unit.js';
import type {PlacementVm} from './placement-vm.js';

/** All that a placement decision looks at. */
export type PlacementView = {
	readonly units: ReadonlyMap<string, PlacementUnit>;
	readonly vms: readonly PlacementVm[];
};
