import {getLoadMs} from './get-load-ms.js';
import type {KeepLoadedCosts} from './keep-loaded-costs.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementVm} from './placement-vm.js';
import type {PolicySettings} from './policy-settings.js';

type KeptUnit = {
	readonly key: string;
	readonly memoryBytes: number;
};

/** The cost of keeping a unit loaded on a VM without work, and the cost of the cold start if it is unloaded. */
export const getKeepLoadedCosts = (state: PlacementState, settings: PolicySettings, unit: KeptUnit, vm: PlacementVm): KeepLoadedCosts => {
	const history = state.histories.get(unit.key);
	const waitMs = getLoadMs(state, unit, vm);
	const callers = (history?.burstSize ?? 1) * (history?.requestWeight ?? 1);
	return {
		idleCostPerMs: Math.max(settings.idleWeight * unit.memoryBytes / vm.memoryBytes, Number.EPSILON),
		coldStartCost: settings.coldStartWeight * callers * waitMs,
	};
};
