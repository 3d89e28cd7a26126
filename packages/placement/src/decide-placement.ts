import {getKeepLoadedCosts} from './get-keep-loaded-costs.js';
import {getKeepLoadedMs} from './get-keep-loaded-ms.js';
import {getLoadMs} from './get-load-ms.js';
import {getLoadPriority} from './get-load-priority.js';
import {canLoadInTime} from './can-load-in-time.js';
import {isReuseLikely} from './is-reuse-likely.js';
import {mutateArrivals} from './mutate-arrivals.js';
import {mutateLoads} from './mutate-loads.js';
import {mutateStartTokens} from './mutate-start-tokens.js';
import {PlacementRound} from './placement-round.js';
import type {PlacementDecision} from './placement-decision.js';
import type {PlacementReplica} from './placement-replica.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementUnit} from './placement-unit.js';
import type {PlacementView} from './placement-view.js';
import type {PlacementVm} from './placement-vm.js';
import type {PolicySettings} from './policy-settings.js';

/** The ratio of a unit's waiting requests to the capacity of the VMs with its replicas at which one more replica is granted. */
const SCALE_OUT_RATIO = 2;

/** The window in which a reuse of a unit is predicted, in load times of the unit. */
const REUSE_WINDOW_LOADS = 2;

/** Decides in one round which replicas are granted and which are revoked. */
class Decider {
	readonly #state: PlacementState;
	readonly #settings: PolicySettings;
	readonly #view: PlacementView;
	readonly #now: number;
	readonly #round: PlacementRound;

	constructor(state: PlacementState, settings: PolicySettings, view: PlacementView, now: number) {
		this.#state = state;
		this.#settings = settings;
		this.#view = view;
		this.#now = now;
		this.#round = new PlacementRound(state, settings, view, now);
	}

	decide(): PlacementDecision[] {
		this.#revokeObsolete();
		const unitsToLoad = this.#getUnitsToLoad();
		for (const unit of unitsToLoad) {
			this.#round.place(unit, true, false);
		}

		this.#placeMinimum();
		this.#revokeIdle();
		if (unitsToLoad.length === 0) {
			this.#prewarm();
		}

		return this.#round.decisions;
	}

	/** Revokes replicas of units that are stopped, no longer declared or above their replica limit, and all replicas on drained VMs. */
	#revokeObsolete(): void {
		for (const replica of this.#getReplicas()) {
			const unit = this.#view.units.get(replica.unit);
			const vm = this.#view.vms.find(candidate => candidate.name === replica.vm);
			const isObsolete = !unit || unit.isStopped || unit.freeReplicas < 0;
			if (!replica.isRevoking && (isObsolete || vm?.isDrained)) {
				this.#round.revoke(replica);
			}
		}
	}

	#getUnitsToLoad(): PlacementUnit[] {
		const unitsToLoad = [...this.#view.units.values()].filter(unit => this.#needsReplica(unit));
		return unitsToLoad.sort((left, right) => getLoadPriority(this.#state, right) - getLoadPriority(this.#state, left));
	}

	#needsReplica(unit: PlacementUnit): boolean {
		if (unit.waiting === 0 || unit.isStopped || unit.freeReplicas <= 0 || this.#round.hasLoad(unit.key)) {
			return false;
		}

		const replicas = this.#round.getReplicas(unit.key);
		if (replicas.length > 0 && unit.waiting < SCALE_OUT_RATIO * this.#getCapacity(replicas)) {
			return false;
		}

		return this.#view.vms.some(vm => vm.isSchedulable && canLoadInTime(this.#state, unit, vm));
	}

	#getCapacity(replicas: readonly PlacementReplica[]): number {
		const names = new Set(replicas.map(replica => replica.vm));
		return this.#view.vms.filter(vm => names.has(vm.name)).reduce((sum, vm) => sum + vm.capacity, 0);
	}

	#placeMinimum(): void {
		for (const unit of this.#view.units.values()) {
			const isMissing = unit.minReplicas > 0 && this.#round.getReplicas(unit.key).length < unit.minReplicas;
			if (isMissing && !unit.isStopped && unit.freeReplicas > 0 && !this.#round.hasLoad(unit.key)) {
				this.#round.place(unit, false, true);
			}
		}
	}

	#revokeIdle(): void {
		for (const vm of this.#round.vms) {
			for (const replica of vm.replicas) {
				if (this.#isIdle(replica, vm)) {
					this.#round.revoke(replica);
				}
			}
		}
	}

	#isIdle(replica: PlacementReplica, vm: PlacementVm): boolean {
		const unit = this.#view.units.get(replica.unit);
		const hasWork = replica.inProgress > 0 || (unit?.waiting ?? 0) > 0;
		const isBase = vm.replicas.some(other => !other.isRevoking && this.#view.units.get(other.unit)?.base === replica.unit);
		if (!unit || !replica.isReady || replica.isRevoking || hasWork || isBase) {
			return false;
		}

		if (this.#round.getReplicas(unit.key).length <= unit.minReplicas) {
			return false;
		}

		const costs = getKeepLoadedCosts(this.#state, this.#settings, unit, vm);
		const history = this.#state.histories.get(unit.key);
		const isLikely = history !== undefined && isReuseLikely(history, costs, this.#getWindowMs(unit), this.#now);
		return replica.idleMs > getKeepLoadedMs(history, costs) && !isLikely;
	}

	#prewarm(): void {
		const vm = this.#view.vms.find(candidate => candidate.isSchedulable);
		if (!vm || this.#state.loads.size > 0) {
			return;
		}

		for (const [key, history] of this.#state.histories) {
			const unit = this.#view.units.get(key);
			if (!unit || history.wasPrewarmed || unit.isStopped || unit.freeReplicas <= 0 || this.#round.getReplicas(key).length > 0) {
				continue;
			}

			const costs = getKeepLoadedCosts(this.#state, this.#settings, unit, vm);
			if (isReuseLikely(history, costs, this.#getWindowMs(unit), this.#now)) {
				history.wasPrewarmed = this.#round.place(unit, false, true);
			}
		}
	}

	#getWindowMs(unit: PlacementUnit): number {
		return getLoadMs(this.#state, unit) * REUSE_WINDOW_LOADS;
	}

	#getReplicas(): PlacementReplica[] {
		return this.#view.vms.flatMap(vm => vm.replicas);
	}
}

/**
 * Runs one round of placement and returns its decisions. Decisions are proposals: the replicated state rejects those that exceed a limit,
 * and the next round decides again.
 * @param now - Monotonic time in milliseconds.
 */
export const decidePlacement = (state: PlacementState, settings: PolicySettings, view: PlacementView, now: number): PlacementDecision[] => {
	mutateStartTokens(state, settings, now);
	mutateLoads(state, view, now);
	for (const unit of view.units.values()) {
		if (unit.arrivals > 0) {
			mutateArrivals(state, unit, now);
		}
	}

	return new Decider(state, settings, view, now).decide();
};
