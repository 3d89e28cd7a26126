import {
	type Clock, type SuspensionWatch, type TimerService, LeaseEnd,
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
import {EngineKeeper} from '../sidecar/engine-keeper.js';
import {newCapacity} from '../sidecar/new-capacity.js';
import {newEngineCopies} from '../sidecar/new-engine-copies.js';
import {REMOTE_POLLS} from './remote-polls.js';

type KeepersParts = {
	readonly holder: string;
	/** Where gateways reach this process for the engines that it gives orders to. */
	readonly keeperAddress: string;
	readonly concurrentStoreLoads: number;
	readonly codec: EngineCodec;
	readonly timers: TimerService;
	readonly clock: Clock;
	/** Tells when the process was last suspended, and for how long in all. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly logger: Logger;
};

type KeptEngine = {
	readonly lease: HeldLease;
	readonly startsAt: number;
	readonly client: EngineClient;
	readonly keeper: EngineKeeper;
};

/** An order is on its way for up to this long, in milliseconds, so none is given that late in a lease. */
const LAST_ORDER_MS = 250;

/** How long the leader is told of a lease that is over, in milliseconds: longer than a late order may take. */
const ENDED_TOLD_MS = 10_000;

/** Gives orders to the engines of which this process holds a lease, each with a keeper of its own. */
export class EngineKeepers {
	readonly #parts: KeepersParts;
	readonly #kept = new Map<string, KeptEngine>();
	#table: RouteTable | undefined;
	#upstreams: readonly Upstream[] = [];
	/** Of all leases. */
	readonly #end: LeaseEnd;
	/** When this process gave up engines that it may have ordered, by address, in monotonic milliseconds. */
	readonly #ended = new Map<string, number>();
	#isStopped = false;

	constructor(parts: KeepersParts) {
		this.#parts = parts;
		this.#end = new LeaseEnd({...parts, lengthMs: ORDER_LEASE_MS});
	}

	/** What the leader is told: leases that are over are told apart. */
	getReport(): Pick<OrderLeaseReport, 'keeperAddress' | 'leases' | 'endedLeases'> {
		const now = this.#parts.clock.now();
		const kept = this.#end.isOver ? [] : [...this.#kept.values()];
		return {
			endedLeases: this.#getEnded(now),
			keeperAddress: this.#parts.keeperAddress,
			leases: kept.map(({lease, startsAt}) => ({engineAddress: lease.engineAddress, fence: lease.fence, startsInMs: Math.max(0, startsAt - now)})),
		};
	}

	get(engineAddress: string): EngineKeeper | undefined {
		return this.#kept.get(engineAddress)?.keeper;
	}

	/** Takes all leases of this process. */
	take({leases, reportedAt}: OrderLeaseUpdate): void {
		if (this.#isStopped || !this.#end.confirm(reportedAt)) {
			return;
		}

		const granted = new Map(leases.map(lease => [lease.engineAddress, lease]));
		for (const [address, {lease}] of this.#kept) {
			if (granted.get(address)?.fence !== lease.fence) {
				this.#drop(address);
			}
		}

		for (const lease of leases) {
			if (!this.#kept.has(lease.engineAddress)) {
				this.#keep(lease);
			}
		}
	}

	setTable(table: RouteTable): void {
		this.#table = table;
		for (const [address, {keeper}] of this.#kept) {
			this.#inform(address, keeper);
		}
	}

	setUpstreams(upstreams: readonly Upstream[]): void {
		this.#upstreams = upstreams;
		for (const [address, {keeper}] of this.#kept) {
			this.#inform(address, keeper);
		}
	}

	/** Gives no orders any more. */
	stop(): void {
		this.#isStopped = true;
		for (const address of this.#kept.keys()) {
			this.#drop(address);
		}
	}

	#getEnded(now: number): OrderLeaseReport['endedLeases'] {
		for (const [address, at] of this.#ended) {
			if (now - at > ENDED_TOLD_MS) {
				this.#ended.delete(address);
			}
		}

		const over = this.#end.isOver ? [...this.#kept].filter(([, {startsAt}]) => startsAt < this.#end.at).map(([address]) => [address, this.#end.at] as const) : [];
		return [...this.#ended, ...over].map(([engineAddress, at]) => ({engineAddress, agoMs: Math.max(0, now - at)}));
	}

	#keep(lease: HeldLease): void {
		const {holder, concurrentStoreLoads, codec, timers, clock, logger} = this.#parts;
		const {engineAddress, fence, startsInMs} = lease;
		const client = new EngineClient(engineAddress, codec);
		const keeper = new EngineKeeper({
			holder, concurrentStoreLoads, client, timers, clock, logger, fence, polls: REMOTE_POLLS, getOrdersEnd: () => this.#end.at - LAST_ORDER_MS,
		});
		const startsAt = clock.now() + startsInMs;
		this.#kept.set(engineAddress, {
			lease, startsAt, client, keeper,
		});
		keeper.setStart(startsAt);
		this.#inform(engineAddress, keeper);
		keeper.start();
		logger.info({
			event: 'engine-kept', address: engineAddress, fence, startsInMs: Math.round(startsInMs),
		}, 'this process gives the engine its orders');
	}

	#drop(address: string): void {
		const kept = this.#kept.get(address)!;
		const now = this.#parts.clock.now();
		this.#kept.delete(address);
		if (kept.startsAt < now) {
			this.#ended.set(address, Math.min(now, this.#end.at));
		}

		kept.keeper.stop();
		kept.client.close();
		this.#parts.logger.info({event: 'engine-released', address, fence: kept.lease.fence}, 'this process gives the engine no more orders');
	}

	#inform(address: string, keeper: EngineKeeper): void {
		const upstream = this.#upstreams.findLast(other => other.address === address);
		if (!upstream) {
			return;
		}

		keeper.setEngines(newEngineCopies(this.#upstreams, upstream.service));
		keeper.setRun(upstream);
		keeper.setAnnounced(upstream);
		keeper.setCapacity(this.#table && newCapacity(this.#table, upstream.service));
	}
}
