import type {
	PlacementDecision, PlacementReplica, PlacementUnit, PlacementView, PlacementVm,
} from '@valelead/placement';
import type {Policy} from './policy.js';

type SimpleOptions = {
	readonly name: string;
	/** How long a unit is kept without use. */
	readonly keepMs: number;
	/** Loads that run at once. */
	readonly concurrentLoads: number;
	/** When a unit is used next, for the bound that knows the future; undefined for the others. */
	readonly getNextUse?: (unit: string, now: number) => number;
	/** Whether a unit may be loaded before its next use, given that time, for the bound. */
	readonly getLoadMs?: (unit: PlacementUnit) => number;
	/** Longest gap over which the bound keeps a unit: where keeping costs as much as loading it again. */
	readonly getKeepMs?: (unit: PlacementUnit) => number;
};

const getHeldBytes = (vm: PlacementVm): number => vm.replicas.reduce((sum, replica) => sum + replica.memoryBytes, 0);

const isIdle = (replica: PlacementReplica, view: PlacementView): boolean => {
	const waiting = view.units.get(replica.unit)?.waiting ?? 0;
	return replica.isReady && !replica.isRevoking && replica.inProgress === 0 && waiting === 0;
};

/** First-come loads, least recently used evictions and one fixed keep-warm time; with the future known, the bound. */
class SimplePolicy implements Policy {
	readonly name: string;
	readonly #options: SimpleOptions;
	readonly #firstWaited = new Map<string, number>();

	constructor(options: SimpleOptions) {
		this.name = options.name;
		this.#options = options;
	}

	decide(view: PlacementView, now: number): PlacementDecision[] {
		const decisions: PlacementDecision[] = [];
		const held = new Set(view.vms.flatMap(vm => vm.replicas).map(replica => replica.unit));
		let loading = view.vms.flatMap(vm => vm.replicas).filter(replica => !replica.isReady && !replica.isRevoking).length;
		for (const unit of this.#getWanted(view, held, now)) {
			if (loading >= this.#options.concurrentLoads) {
				break;
			}

			const before = decisions.length;
			this.#place(view, unit, decisions, now);
			loading += decisions.slice(before).filter(decision => decision.kind === 'grant').length;
		}

		for (const vm of view.vms) {
			for (const replica of vm.replicas) {
				if (isIdle(replica, view) && this.#isExpired(replica, view, now)) {
					decisions.push({kind: 'revoke', grantId: replica.grantId});
				}
			}
		}

		return decisions;
	}

	#getWanted(view: PlacementView, held: ReadonlySet<string>, now: number): PlacementUnit[] {
		const wanted = [...view.units.values()].filter(unit => !held.has(unit.key) && (unit.waiting > 0 || this.#isDueSoon(unit, now)));
		for (const unit of wanted) {
			this.#firstWaited.set(unit.key, this.#firstWaited.get(unit.key) ?? now);
		}

		for (const key of held) {
			this.#firstWaited.delete(key);
		}

		return wanted.sort((left, right) => this.#firstWaited.get(left.key)! - this.#firstWaited.get(right.key)!);
	}

	#isDueSoon(unit: PlacementUnit, now: number): boolean {
		const {getNextUse, getLoadMs} = this.#options;
		return getNextUse !== undefined && getLoadMs !== undefined && getNextUse(unit.key, now) - now <= getLoadMs(unit);
	}

	#isExpired(replica: PlacementReplica, view: PlacementView, now: number): boolean {
		const {getNextUse, getKeepMs} = this.#options;
		const unit = view.units.get(replica.unit);
		if (getNextUse && getKeepMs && unit) {
			return getNextUse(replica.unit, now) - now > getKeepMs(unit);
		}

		return replica.idleMs > this.#options.keepMs;
	}

	/** The victim is the least recently used one, or for the bound the one used last in the future. */
	#getVictimOrder(replica: PlacementReplica, now: number): number {
		return this.#options.getNextUse ? -this.#options.getNextUse(replica.unit, now) : -replica.idleMs;
	}

	#place(view: PlacementView, unit: PlacementUnit, decisions: PlacementDecision[], now: number): void {
		const open = view.vms.filter(vm => vm.isSchedulable);
		const free = open.find(vm => getHeldBytes(vm) + unit.memoryBytes <= vm.memoryBytes);
		if (free) {
			decisions.push({kind: 'grant', unit: unit.key, vm: free.name});
			return;
		}

		const isMakingRoom = open.some(vm => vm.replicas.some(replica => replica.isRevoking));
		const victims = open.flatMap(vm => vm.replicas).filter(replica => isIdle(replica, view));
		const [victim] = victims.sort((left, right) => this.#getVictimOrder(left, now) - this.#getVictimOrder(right, now));
		if (victim && !isMakingRoom) {
			decisions.push({kind: 'revoke', grantId: victim.grantId});
		}
	}
}

/** A baseline or the bound. */
export const newSimplePolicy = (options: SimpleOptions): Policy => new SimplePolicy(options);
