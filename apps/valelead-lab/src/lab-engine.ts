import type {Address, TimerService} from '@valelead/common';
import {type Upstream, type UpstreamStateValue, UPSTREAM_STATE} from '@valelead/discovery';
import type {EmulatedEngine, VirtualClock} from '@valelead/emulator';
import {ORDER_RESULT, type OrderResultValue} from '@valelead/residency';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import {
	EngineManager, type EnginePort, type EngineStatus, LOCAL_POLL_INTERVALS, type OrderReply, type ConditionalOrder, REMOTE_POLL_INTERVALS, ReportEncoder, SIDECAR_FENCE, newCapacity,
} from 'valelead-daemon';
import {LAB_NAMES} from './lab-names.js';

type LabEngineParts = {
	readonly id: string;
	readonly engine: EmulatedEngine;
	readonly clock: VirtualClock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly table: RouteTable;
	readonly slots: number;
	/** How old the state is that the engine tells, in milliseconds: 0 to a process on its own machine. */
	readonly statusLagMs: number;
};

/** Between a sidecar and its engine, one way, in milliseconds: the same machine, with the work of two processes. */
const LOCAL_MS = 1.5;

/** Loads from the weight store for no request that waits, over the installation, as in the daemon's settings. */
const CONCURRENT_STORE_LOADS = 4;

type ToldStatus = {
	readonly at: number;
	readonly status: EngineStatus;
};

/** How often an engine takes down the state that it tells to other machines, in milliseconds. */
const SNAPSHOT_MS = 20;

/** An emulated engine with the shipped keeper beside it. */
export class LabEngine {
	readonly keeper: EngineManager;
	/** One for all gateways, as in a sidecar. */
	readonly encoder = new ReportEncoder();
	/** What its answers name; none where it is undefined. */
	limitPerSecond: number | undefined;
	readonly #parts: LabEngineParts;
	#state: UpstreamStateValue = UPSTREAM_STATE.Ready;
	#sequence = 0;
	/** States of the last moments, the oldest first. */
	#told: ToldStatus[] = [];
	#refused = 0;

	constructor(parts: LabEngineParts) {
		this.#parts = parts;
		this.keeper = new EngineManager({
			holder: parts.id,
			concurrentStoreLoads: CONCURRENT_STORE_LOADS,
			client: this.#newPort(),
			timers: parts.timers,
			clock: parts.clock,
			logger: parts.logger,
			fence: SIDECAR_FENCE,
			pollIntervals: parts.statusLagMs === 0 ? LOCAL_POLL_INTERVALS : REMOTE_POLL_INTERVALS,
		});
		if (parts.statusLagMs > 0) {
			parts.timers.repeat(SNAPSHOT_MS, now => {
				this.#takeDown(now);
			});
		}

		this.keeper.setCapacity(newCapacity(parts.table, LAB_NAMES.service));
		this.keeper.setRun({instanceId: parts.id, bornAt: 0});
		this.keeper.start();
	}

	get id(): string {
		return this.#parts.id;
	}

	get address(): Address {
		return `${this.#parts.id}:1` as Address;
	}

	get engine(): EmulatedEngine {
		return this.#parts.engine;
	}

	/** Orders that came while another one was carried out, or that were decided on an older state. */
	get refusedOrders(): number {
		return this.#refused;
	}

	get state(): UpstreamStateValue {
		return this.#state;
	}

	drain(): void {
		this.#state = UPSTREAM_STATE.Draining;
	}

	/** Ends the engine with its sidecar. */
	end(): void {
		this.keeper.stop();
		this.engine.crash();
	}

	/** What the engine announces of itself. */
	announce(): Upstream {
		this.#sequence += 1;
		return {
			id: this.id,
			instanceId: this.id,
			bornAt: 0,
			service: LAB_NAMES.service,
			address: this.address,
			dataCentre: LAB_NAMES.dataCentre,
			state: this.#state,
			slots: this.#parts.slots,
			sequence: this.#sequence,
			models: this.#getModels(),
			copiesInMemory: this.engine.memoryCopies,
			copiesOnDisk: this.engine.diskCopies,
			remainingMs: 0,
			softwareVersion: 'v1',
			keeperAddress: '',
		};
	}

	#getModels(): Upstream['models'] {
		return [...this.engine.loadedModels].map(([name, adapters]) => ({name, version: 1, adapters: [...adapters]}));
	}

	#getStatus(): EngineStatus {
		return {
			bornAt: 0,
			models: this.#getModels(),
			pending: [],
			isBusy: this.engine.isBusy,
			orderSequence: this.engine.sequence,
			queued: this.engine.queuedCount,
			active: this.engine.activeCount,
			cacheUsedTokens: 0,
			cacheTokens: 1,
			copiesInMemory: this.engine.memoryCopies,
			copiesOnDisk: this.engine.diskCopies,
		};
	}

	#takeDown(now: number): void {
		this.#told.push({at: now, status: this.#getStatus()});
		this.#told = this.#told.filter(({at}) => now - at <= this.#parts.statusLagMs);
	}

	#newPort(): EnginePort {
		return {
			getStatus: async () => this.#call(() => ({
				instanceId: this.id,
				status: this.#told.at(0)?.status ?? this.#getStatus(),
			})),
			order: async terms => this.#giveOrder(terms),
		};
	}

	/** What became of an order is not known where the engine is gone before it answers. */
	async #giveOrder(terms: ConditionalOrder): Promise<OrderReply> {
		try {
			return await this.#call(() => ({result: this.#order(terms), instanceId: this.id, reason: ''}));
		} catch (error) {
			return {result: ORDER_RESULT.Unknown, instanceId: '', reason: (error as Error).message};
		}
	}

	#order({order, expectedSequence}: ConditionalOrder): OrderResultValue {
		const {engine} = this.#parts;
		const isTaken = order.adapter === ''
			? engine.order({kind: order.kind, model: order.model}, expectedSequence)
			: engine.orderAdapter(order.kind, order.model, order.adapter, expectedSequence);
		this.#refused += isTaken ? 0 : 1;
		return isTaken ? ORDER_RESULT.Accepted : ORDER_RESULT.Conflict;
	}

	/** Asks the engine and hears its answer a little later; an engine that is gone does not answer. */
	async #call<Reply>(ask: () => Reply): Promise<Reply> {
		const {clock, engine} = this.#parts;
		return new Promise((resolve, reject) => {
			clock.schedule(LOCAL_MS, () => {
				if (!engine.isUp) {
					reject(new Error('the engine is gone'));
					return;
				}

				const reply = ask();
				clock.schedule(LOCAL_MS, () => {
					resolve(reply);
				});
			});
		});
	}
}
