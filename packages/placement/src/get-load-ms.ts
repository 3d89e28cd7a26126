import type {PlacementState} from './placement-state.js';
import type {PlacementVm} from './placement-vm.js';

const BYTES_PER_GIB = 2 ** 30;

type Loadable = {
	readonly key: string;
	readonly memoryBytes: number;
};

/** The expected load time of a unit in milliseconds: from the VM's disk if it is cached there, otherwise from the weight store. */
export const getLoadMs = (state: PlacementState, unit: Loadable, vm?: PlacementVm): number => {
	const msPerGib = vm?.cached.has(unit.key) ? state.diskMsPerGib : state.storeMsPerGib;
	return Math.max(1, msPerGib * unit.memoryBytes / BYTES_PER_GIB);
};
