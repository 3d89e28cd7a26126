import {
	type Clock, type SuspensionWatch, type TimerService, Lease,
} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import {ORDER_LEASE_MS} from '@valelead/order-lease';
import type {HeldLease} from '@valelead/protocol';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {EngineCodec} from '../adapter/engine-codec.js';
import type {OrderLeaseUpdate} from '../follower/order-lease-update.js';
import type {OrderLeaseReport} from '../follower/order-lease-report.js';
import {EngineClient} from '../sidecar/engine-client.js';
import {EngineManager} from '../sidecar/engine-manager.js';
import {newCapacity} from '../sidecar/new-capacity.js';
import {newEngineCopies} from '../sidecar/new-engine-copies.js';
import {REMOTE_POLL_INTERVALS} from './remote-poll-intervals.js';

type EngineManagersOptions = {
	readonly holder: string;
	/** The address at which gateways reach this process for the engines that it manages. */
	readonly keeperAddress: string;
	readonly concurrentStoreLoads: number;
	readonly codec: EngineCodec;
	readonly timers: TimerService;
	readonly clock: Clock;
	/** Reports when the process last resumed from a suspension, and the total time it has been suspended. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly logger: Logger;
};

type ManagedEngine = {
	readonly lease: HeldLease;
	readonly startsAt: number;
	readonly client: EngineClient;
	readonly manager: EngineManager;
};

/** An order takes up to this long to reach its engine, in milliseconds, so no order is sent in this last part of a lease. */
const ORDER_TRANSIT_MS = 250;

/** How long an ended lease is reported to the leader, in milliseconds. This is longer than a delayed order can take to arrive. */
const ENDED_REPORTED_MS = 10_000;

/** Runs one manager for each engine whose order lease this process holds; the manager sends the engine its orders. */
export class EngineManagers {
	readonly #parts: EngineManagersOptions;
	readonly #managed = new Map<string, ManagedEngine>();
	#table: RouteTable | undefined;
	#upstreams: readonly Upstream[] = [];
	/** The end of the leases; it is the same for all leases of this process. */
	readonly #leaseEnd: Lease;
	/** When this process released engines to which it may have sent orders, by engine address, in monotonic milliseconds. */
	readonly #endedLeases = new Map<string, number>();
	#isStopped = false;

	constructor(parts: EngineManagersOptions) {
		this.#parts = parts;
		this.#leaseEnd = new Lease({...parts, lengthMs: ORDER_LEASE_MS});
	}

	/** Returns this process's part of the report to the leader. Ended leases are listed separately from current ones. */
	getReport(): Pick<OrderLeaseReport, 'keeperAddress' | 'leases' | 'endedLeases'> {
		const now = this.#parts.clock.now();
		const managed = this.#leaseEnd.isExpired ? [] : [...this.#managed.values()];
		return {
			endedLeases: this.#getEnded(now),
			keeperAddress: this.#parts.keeperAddress,
			leases: managed.map(({lease, startsAt}) => ({engineAddress: lease.engineAddress, fence: lease.fence, startsInMs: Math.max(0, startsAt - now)})),
		};
	}

	get(engineAddress: string): EngineManager | undefined {
		return this.#managed.get(engineAddress)?.manager;
	}

	/** Applies the leader's full list of leases for this process: starts managing new engines and releases engines that are not on the list. */
	take({leases, reportedAt}: OrderLeaseUpdate): void {
		if (this.#isStopped || !this.#leaseEnd.renew(reportedAt)) {
			return;
		}

		const granted = new Map(leases.map(lease => [lease.engineAddress, lease]));
		for (const [address, {lease}] of this.#managed) {
			if (granted.get(address)?.fence !== lease.fence) {
				this.#release(address);
			}
		}

		for (const lease of leases) {
			if (!this.#managed.has(lease.engineAddress)) {
				this.#manage(lease);
			}
		}
	}

	setTable(table: RouteTable): void {
		this.#table = table;
		for (const [address, {manager}] of this.#managed) {
			this.#updateManager(address, manager);
		}
	}

	setUpstreams(upstreams: readonly Upstream[]): void {
		this.#upstreams = upstreams;
		for (const [address, {manager}] of this.#managed) {
			this.#updateManager(address, manager);
		}
	}

	/** Releases all engines. This process sends no orders afterwards. */
	stop(): void {
		this.#isStopped = true;
		for (const address of this.#managed.keys()) {
			this.#release(address);
		}
	}

	#getEnded(now: number): OrderLeaseReport['endedLeases'] {
		for (const [address, at] of this.#endedLeases) {
			if (now - at > ENDED_REPORTED_MS) {
				this.#endedLeases.delete(address);
			}
		}

		const over = this.#leaseEnd.isExpired
			? [...this.#managed].filter(([, {startsAt}]) => startsAt < this.#leaseEnd.expiresAt).map(([address]) => [address, this.#leaseEnd.expiresAt] as const)
			: [];
		return [...this.#endedLeases, ...over].map(([engineAddress, at]) => ({engineAddress, agoMs: Math.max(0, now - at)}));
	}

	#manage(lease: HeldLease): void {
		const {holder, concurrentStoreLoads, codec, timers, clock, logger} = this.#parts;
		const {engineAddress, fence, startsInMs} = lease;
		const client = new EngineClient(engineAddress, codec, timers);
		const manager = new EngineManager({
			holder, concurrentStoreLoads, client, timers, clock, logger, fence, pollIntervals: REMOTE_POLL_INTERVALS, getOrdersEnd: () => this.#leaseEnd.expiresAt - ORDER_TRANSIT_MS,
		});
		const startsAt = clock.now() + startsInMs;
		this.#managed.set(engineAddress, {
			lease, startsAt, client, manager,
		});
		manager.setOrderStart(startsAt);
		this.#updateManager(engineAddress, manager);
		manager.start();
		logger.info({
			event: 'engine-kept', address: engineAddress, fence, startsInMs: Math.round(startsInMs),
		}, 'this process now sends orders to the engine');
	}

	#release(address: string): void {
		const managed = this.#managed.get(address)!;
		const now = this.#parts.clock.now();
		this.#managed.delete(address);
		if (managed.startsAt < now) {
			this.#endedLeases.set(address, Math.min(now, this.#leaseEnd.expiresAt));
		}

		managed.manager.stop();
		managed.client.close();
		this.#parts.logger.info({event: 'engine-released', address, fence: managed.lease.fence}, 'this process no longer sends orders to the engine');
	}

	#updateManager(address: string, manager: EngineManager): void {
		const upstream = this.#upstreams.findLast(other => other.address === address);
		if (!upstream) {
			return;
		}

		manager.setEngines(newEngineCopies(this.#upstreams, upstream.service));
		manager.setRun(upstream);
		manager.applyAnnouncement(upstream);
		manager.setCapacity(this.#table && newCapacity(this.#table, upstream.service));
	}
}
