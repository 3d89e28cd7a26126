import {getLoadMs} from './get-load-ms.js';
import type {KeepCosts} from './keep-costs.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementVm} from './placement-vm.js';
import type {PolicySettings} from './policy-settings.js';

type Kept = {
	readonly key: string;
	readonly memoryBytes: number;
};

/** The costs of keeping a unit on a VM, or giving it up. */
export const getKeepCosts = (state: PlacementState, settings: PolicySettings, unit: Kept, vm: PlacementVm): KeepCosts => {
	const history = state.histories.get(unit.key);
	const waitMs = getLoadMs(state, unit, vm);
	const callers = (history?.burstSize ?? 1) * (history?.requestWeight ?? 1);
	return {
		idlePerMs: Math.max(settings.idleWeight * unit.memoryBytes / vm.memoryBytes, Number.EPSILON),
		coldStart: settings.coldStartWeight * callers * waitMs,
	};
};
