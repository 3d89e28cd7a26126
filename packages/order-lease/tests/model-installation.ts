import assert from 'node:assert/strict';
import type * as fc from 'fast-check';
import {MODEL_VMS, type MODEL_STEP} from './model-step.js';
import {
	type ReportedLease, type LeaseCandidate, type LeaseState, ORDER_LEASE_MS, getVmLeases, getSidecarDelayMs, mutateLeases, newLeaseState,
} from '@valelead/order-lease';

type ModelStep = typeof MODEL_STEP extends fc.Arbitrary<infer Value> ? Value : never;

type ModelLease = {
	readonly fence: number;
	readonly startsAt: number;
	readonly validUntil: number;
};

type ModelOrder = {
	readonly vm: string;
	readonly fence: number;
	readonly at: number;
};

const ENGINES = ['e1', 'e2'];
const SIDECAR_FENCE = Number.MAX_SAFE_INTEGER;
const ROUND_MS = 250;
const SETTINGS = {orderGapMs: 3000};

/** Simulates a leader and lease holders that send an order whenever they are allowed to, which is the worst case. */
export class ModelInstallation {
	readonly #holders = new Map<string, Map<string, ModelLease>>(MODEL_VMS.map(vm => [vm, new Map()]));
	readonly #last = new Map<string, ModelOrder>();
	readonly #lastReports = new Map<string, LeaseCandidate>();
	#state: LeaseState = newLeaseState(1, 0);
	#now = 0;
	#sidecarStartsAt = Number.POSITIVE_INFINITY;

	/** Runs a step. Fails if an engine receives orders from two holders within the gap, or with a decreasing fencing token. */
	play(step: ModelStep): void {
		const {silent, unreachable, stopping, restarted, isLeaderNew, isSidecarStarted, rounds} = step;
		if (isLeaderNew) {
			this.#state = newLeaseState(this.#state.term + 1, this.#now);
			this.#lastReports.clear();
		}

		if (restarted !== undefined) {
			this.#holders.get(restarted)!.clear();
		}

		for (let round = 0; round < rounds; round += 1) {
			this.#now += ROUND_MS;
			this.#report(silent, stopping);
			this.#noteSidecar(isSidecarStarted);
			mutateLeases(this.#state, SETTINGS, {addresses: new Set(ENGINES), candidates: [...this.#lastReports.values()]}, this.#now);
			this.#reply([...silent, ...unreachable]);
			this.#giveOrders();
		}
	}

	#report(silent: readonly string[], stopping: readonly string[]): void {
		for (const [vm, leases] of this.#holders) {
			if (!silent.includes(vm)) {
				this.#lastReports.set(vm, {
					vm, reportedAt: this.#now, isStopping: stopping.includes(vm), leases: this.#getHeld(leases),
				});
			}
		}
	}

	#getHeld(leases: ReadonlyMap<string, ModelLease>): ReportedLease[] {
		return [...leases]
			.filter(([, {validUntil}]) => this.#now < validUntil)
			.map(([address, {fence, startsAt}]) => ({address, fence, startsInMs: Math.max(0, startsAt - this.#now)}));
	}

	/** The sidecar of the first engine starts once and reports from then on. It waits for the delay that the first leader it reached told it. */
	#noteSidecar(isStarted: boolean): void {
		const [engine] = ENGINES;
		const isRunning = this.#sidecarStartsAt !== Number.POSITIVE_INFINITY;
		if (!isRunning && !isStarted) {
			return;
		}

		this.#state.enginesWithSidecar.add(engine);
		if (!isRunning && this.#state.leases.has(engine)) {
			this.#sidecarStartsAt = this.#now + getSidecarDelayMs(this.#state, SETTINGS, engine, this.#now);
		}
	}

	#reply(unreached: readonly string[]): void {
		for (const vm of MODEL_VMS.filter(other => !unreached.includes(other))) {
			const granted = getVmLeases(this.#state, vm);
			this.#holders.set(vm, new Map(granted.map(({address, fence, startsAt}) => [address, {fence, startsAt, validUntil: this.#now + ORDER_LEASE_MS}])));
		}
	}

	#giveOrders(): void {
		for (const [vm, leases] of this.#holders) {
			for (const [address, {fence, startsAt, validUntil}] of leases) {
				if (this.#now >= startsAt && this.#now < validUntil) {
					this.#order(address, {vm, fence, at: this.#now});
				}
			}
		}

		if (this.#now >= this.#sidecarStartsAt) {
			this.#order(ENGINES[0], {vm: 'sidecar', fence: SIDECAR_FENCE, at: this.#now});
		}
	}

	#order(address: string, order: ModelOrder): void {
		const before = this.#last.get(address);
		this.#last.set(address, order);
		if (!before) {
			return;
		}

		const isApart = before.vm === order.vm || order.at - before.at >= SETTINGS.orderGapMs;
		assert.ok(isApart, `${address}: ${before.vm} at ${before.at}, ${order.vm} at ${order.at}`);
		assert.ok(order.fence >= before.fence, `${address}: fence ${order.fence} after ${before.fence}`);
	}
}
