import {getKeepLoadedCosts} from './get-keep-loaded-costs.js';
import type {PlacementReplica} from './placement-replica.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementView} from './placement-view.js';
import type {PlacementVm} from './placement-vm.js';
import type {PolicySettings} from './policy-settings.js';

type Evictions = {
	readonly replicas: readonly PlacementReplica[];
	/** Expected cost of loading the evicted units again. */
	readonly cost: number;
};

/** The free memory of a VM in bytes, as it will be once the replicas that are being revoked are released. */
const getFutureBytes = (vm: PlacementVm): number => {
	const kept = vm.replicas.filter(replica => !replica.isRevoking);
	return vm.memoryBytes - kept.reduce((sum, replica) => sum + replica.memoryBytes, 0);
};

const isEvictable = (replica: PlacementReplica, vm: PlacementVm, view: PlacementView, neededBase: string): boolean => {
	const isBase = vm.replicas.some(other => !other.isRevoking && view.units.get(other.unit)?.base === replica.unit);
	const hasWaiting = (view.units.get(replica.unit)?.waiting ?? 0) > 0;
	return replica.isReady && !replica.isRevoking && replica.inProgress === 0 && !hasWaiting && !isBase && replica.unit !== neededBase;
};

/**
 * The expected cost of the cold start if an idle replica is evicted, per millisecond for which it has been idle. The chance of reuse is the
 * share of remembered gaps that were longer than the present one, with one assumed gap of each kind.
 */
const getExpectedReloadCost = (state: PlacementState, settings: PolicySettings, replica: PlacementReplica, vm: PlacementVm): number => {
	const costs = getKeepLoadedCosts(state, settings, {key: replica.unit, memoryBytes: replica.memoryBytes}, vm);
	const gaps = state.histories.get(replica.unit)?.gaps ?? [];
	const longer = gaps.filter(gap => gap > replica.idleMs).length;
	const reuseChance = (longer + 1) / (gaps.length + 2);
	return reuseChance * costs.coldStartCost / (replica.idleMs + 1);
};

/**
 * The replicas of a VM whose eviction frees the needed memory, chosen greedily by the lowest expected cost per byte. Replicas with requests
 * in progress or waiting are never evicted. Undefined if not enough memory can be freed.
 */
export const getEvictions = (state: PlacementState, settings: PolicySettings, view: PlacementView, vm: PlacementVm, neededBytes: number, neededBase: string): Evictions | undefined => {
	let freeBytes = getFutureBytes(vm);
	const candidates = vm.replicas
		.filter(replica => isEvictable(replica, vm, view, neededBase))
		.map(replica => ({replica, cost: getExpectedReloadCost(state, settings, replica, vm)}))
		.sort((left, right) => (left.cost / left.replica.memoryBytes) - (right.cost / right.replica.memoryBytes));
	const replicas: PlacementReplica[] = [];
	let cost = 0;
	for (const candidate of candidates) {
		if (freeBytes >= neededBytes) {
			break;
		}

		replicas.push(candidate.replica);
		cost += candidate.cost;
		freeBytes += candidate.replica.memoryBytes;
	}

	return freeBytes >= neededBytes ? {replicas, cost} : undefined;
};
