import {getEvictions} from './get-evictions.js';
import {getLoadKey} from './get-load-key.js';
import {getLoadMs} from './get-load-ms.js';
import type {PlacementDecision} from './placement-decision.js';
import type {PlacementReplica} from './placement-replica.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementUnit} from './placement-unit.js';
import type {PlacementView} from './placement-view.js';
import type {PlacementVm} from './placement-vm.js';
import type {PolicySettings} from './policy-settings.js';

type Choice = {
	readonly vm: PlacementVm;
	readonly evicted: readonly PlacementReplica[];
	readonly cost: number;
};

/** The penalty for placing a unit on a VM at its full capacity instead of an idle VM, in milliseconds of waiting. */
const FULL_VM_PENALTY_MS = 500;

/** Collects the decisions of one round and applies them to a copy of the view, so that later decisions take earlier ones into account. */
export class PlacementRound {
	readonly decisions: PlacementDecision[] = [];
	readonly #state: PlacementState;
	readonly #settings: PolicySettings;
	readonly #view: PlacementView;
	readonly #now: number;
	readonly #vms: Map<string, PlacementVm>;
	readonly #freeReplicas = new Map<string, number>();

	constructor(state: PlacementState, settings: PolicySettings, view: PlacementView, now: number) {
		this.#state = state;
		this.#settings = settings;
		this.#view = view;
		this.#now = now;
		this.#vms = new Map(view.vms.map(vm => [vm.name, vm]));
	}

	get vms(): Iterable<PlacementVm> {
		return this.#vms.values();
	}

	/** Returns the replicas of a unit that are not being revoked. */
	getReplicas(unit: string): PlacementReplica[] {
		const replicas: PlacementReplica[] = [];
		for (const vm of this.#vms.values()) {
			replicas.push(...vm.replicas.filter(replica => replica.unit === unit && !replica.isRevoking));
		}

		return replicas;
	}

	/** Returns true if a load of the unit is in progress. */
	hasLoad(unit: string): boolean {
		const isGranted = this.getReplicas(unit).some(replica => !replica.isReady);
		return isGranted || [...this.#state.loads.values()].some(load => load.unit === unit);
	}

	revoke(replica: PlacementReplica): void {
		const vm = this.#vms.get(replica.vm)!;
		const replicas = vm.replicas.map(other => other.grantId === replica.grantId ? {...other, isRevoking: true} : other);
		this.#vms.set(vm.name, {...vm, replicas});
		this.decisions.push({kind: 'revoke', grantId: replica.grantId});
	}

	/** Grants the unit on the VM with the lowest cost, or revokes replicas there to free memory for it. Returns true if a VM was found. */
	place(unit: PlacementUnit, canEvict: boolean, isPrewarm: boolean): boolean {
		const choice = this.#choose(unit, canEvict);
		if (!choice) {
			return false;
		}

		for (const replica of choice.evicted) {
			this.revoke(replica);
		}

		this.#grant(unit, this.#vms.get(choice.vm.name)!, isPrewarm);
		return true;
	}

	#choose(unit: PlacementUnit, canEvict: boolean): Choice | undefined {
		let best: Choice | undefined;
		for (const vm of this.#vms.values()) {
			const choice = this.#getChoice(unit, vm, canEvict);
			if (choice && (!best || choice.cost < best.cost)) {
				best = choice;
			}
		}

		return best;
	}

	#getChoice(unit: PlacementUnit, vm: PlacementVm, canEvict: boolean): Choice | undefined {
		const hasUnit = vm.replicas.some(replica => replica.unit === unit.key);
		const hasBase = unit.base === '' || vm.replicas.some(replica => replica.unit === unit.base && !replica.isRevoking);
		if (!vm.isSchedulable || hasUnit || !hasBase) {
			return undefined;
		}

		const evictions = getEvictions(this.#state, this.#settings, this.#view, vm, unit.memoryBytes, unit.base);
		if (!evictions || (!canEvict && evictions.replicas.length > 0)) {
			return undefined;
		}

		const busyMs = FULL_VM_PENALTY_MS * vm.inProgress / Math.max(1, vm.capacity);
		const waitMs = getLoadMs(this.#state, unit, vm) + busyMs;
		const weight = Math.max(1, unit.waitingWeight) * this.#settings.coldStartWeight;
		return {vm, evicted: evictions.replicas, cost: (waitMs * weight) + evictions.cost};
	}

	#grant(unit: PlacementUnit, vm: PlacementVm, isPrewarm: boolean): void {
		const held = vm.replicas.reduce((sum, replica) => sum + replica.memoryBytes, 0);
		const freeReplicas = this.#freeReplicas.get(unit.key) ?? unit.freeReplicas;
		if (held + unit.memoryBytes > vm.memoryBytes || freeReplicas <= 0) {
			return;
		}

		const isFromStore = !vm.cached.has(unit.key);
		if (isFromStore && !this.#takeStartToken()) {
			return;
		}

		this.#freeReplicas.set(unit.key, freeReplicas - 1);
		const replica: PlacementReplica = {
			grantId: '', unit: unit.key, vm: vm.name, memoryBytes: unit.memoryBytes, isReady: false, isRevoking: false, inProgress: 0, idleMs: 0,
		};
		this.#vms.set(vm.name, {...vm, replicas: [...vm.replicas, replica]});
		this.#state.loads.set(getLoadKey(unit.key, vm.name), {
			unit: unit.key, vm: vm.name, startedAt: this.#now, isFromStore, isPrewarm,
		});
		this.decisions.push({kind: 'grant', unit: unit.key, vm: vm.name});
	}

	/** Takes a token for a load from the weight store. Returns false if its concurrency or rate limit is reached. */
	#takeStartToken(): boolean {
		const running = [...this.#state.loads.values()].filter(load => load.isFromStore).length;
		if (running >= this.#settings.concurrentLoads || this.#state.startTokens < 1) {
			return false;
		}

		this.#state.startTokens -= 1;
		return true;
	}
}
