import {
	type Clock, type TimerService, type TimerSubscription,
} from '@valelead/common';
import {
	type Capacity, type EngineOrder, type Holdings, ORDER_KIND, ORDER_RESULT, type OrderResultValue, type UnitNeed, getMergedNeeds, getNextOrder, getWantedModels, mutateUse, newResidencyState,
} from '@valelead/residency';
import type {Logger} from 'pino';
import type {EngineStatus} from '../adapter/engine-status.js';
import type {EngineClient} from './engine-client.js';
import type {EngineSummary} from './engine-summary.js';

type KeeperParts = {
	readonly holder: string;
	readonly client: EngineClient;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** How soon the engine is asked again while an order is carried out or something waits, in milliseconds. */
const BUSY_POLL_MS = 40;

/** An adapter loads within milliseconds. */
const ADAPTER_POLL_MS = 10;

/** How often the engine is asked while nothing is to be done, in milliseconds. */
const IDLE_POLL_MS = 1000;

/** Between the word that a model goes and the order: gateways stop sending for it, in milliseconds. */
const NOTICE_MS = 30;

/**
 * The fencing number of every order. This process is the only holder there can be, as orders come from the engine's own
 * machine; a constant survives its restarts without a disk, and engines that compare numbers take an equal one.
 */
const FENCE = 1;

/** Gives the engine the orders that its gateways' needs call for, one after the other, from its newest state. */
export class EngineKeeper {
	readonly #parts: KeeperParts;
	readonly #needs = new Map<string, readonly UnitNeed[]>();
	readonly #residency = newResidencyState();
	readonly #listeners = new Set<() => void>();
	#capacity: Capacity | undefined;
	#upstreamId = '';
	#status: EngineStatus | undefined;
	/** What is announced to go, and since when. */
	#leaving: {readonly order: EngineOrder; readonly since: number} | undefined;
	#timer: TimerSubscription | undefined;
	#isRunning = false;
	#isAgain = false;
	#isStopped = false;
	#published = '';
	#isReachable = true;

	constructor(parts: KeeperParts) {
		this.#parts = parts;
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
	}

	setCapacity(capacity: Capacity | undefined): void {
		this.#capacity = capacity;
		this.#wake();
	}

	setUpstreamId(upstreamId: string): void {
		if (upstreamId !== '' && upstreamId !== this.#upstreamId) {
			this.#upstreamId = upstreamId;
			this.#wake();
		}
	}

	/** Calls back whenever the summary changes. */
	subscribe(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Takes the whole need of the gateway at the other end of a stream. */
	setNeeds(streamId: string, needs: readonly UnitNeed[]): void {
		this.#needs.set(streamId, needs);
		mutateUse(this.#residency, needs, this.#parts.clock.now());
		this.#publish();
		if (needs.some(need => need.waiting > 0)) {
			this.#wake();
		}
	}

	forgetStream(streamId: string): void {
		this.#needs.delete(streamId);
		this.#publish();
	}

	get summary(): EngineSummary | undefined {
		const status = this.#status;
		if (!status || this.#upstreamId === '') {
			return undefined;
		}

		const needs = this.#getNeeds();
		return {
			upstreamId: this.#upstreamId,
			models: this.#getOfferedModels(status),
			loading: this.#capacity ? getWantedModels(this.#getHoldings(status), needs) : [],
			copiesInMemory: [...status.copiesInMemory],
			copiesOnDisk: [...status.copiesOnDisk],
			inProgress: needs.reduce((sum, need) => sum + need.inProgress, 0),
			waiting: needs.reduce((sum, need) => sum + need.waiting, 0),
			cacheShare: status.cacheTokens === 0 ? 0 : Math.round(100 * status.cacheUsedTokens / status.cacheTokens) / 100,
		};
	}

	#getNeeds(): UnitNeed[] {
		return getMergedNeeds([...this.#needs.values()].flat());
	}

	/** What is about to go is not offered any more. */
	#getOfferedModels(status: EngineStatus): EngineSummary['models'] {
		const leaving = this.#leaving?.order;
		return status.models
			.filter(model => !(leaving?.adapter === '' && leaving.model === model.name))
			.map(model => ({
				name: model.name,
				version: model.version,
				adapters: model.adapters.filter(adapter => !(leaving?.model === model.name && leaving.adapter === adapter)),
			}));
	}

	#getHoldings(status: EngineStatus): Holdings {
		return {
			isBusy: status.isBusy,
			models: status.models.map(model => ({
				name: model.name,
				adapters: [...new Set([...model.adapters, ...status.pending.filter(pending => pending.model === model.name).map(pending => pending.adapter)])],
			})),
		};
	}

	#wake(): void {
		if (this.#isRunning) {
			this.#isAgain = true;
			return;
		}

		this.#timer?.cancel();
		void this.#run();
	}

	/** One turn: asks the engine for its state, decides, orders, and sets the time of the next turn. */
	async #run(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#isRunning = true;
		this.#isAgain = false;
		const waitMs = await this.#turn();
		this.#isRunning = false;
		this.#timer = this.#parts.timers.after(this.#isAgain ? 0 : waitMs, () => {
			void this.#run();
		});
	}

	async #turn(): Promise<number> {
		if (!await this.#refresh()) {
			return IDLE_POLL_MS;
		}

		const order = this.#decide();
		this.#publish();
		if (!order) {
			return this.#status!.isBusy || this.#status!.pending.length > 0 ? BUSY_POLL_MS : this.#getRestMs();
		}

		if (order.kind === ORDER_KIND.Unload && !this.#isNoticed(order)) {
			return NOTICE_MS;
		}

		this.#leaving = undefined;
		const result = await this.#order(order);
		if (result === ORDER_RESULT.Conflict) {
			return ADAPTER_POLL_MS;
		}

		return order.adapter === '' ? BUSY_POLL_MS : ADAPTER_POLL_MS;
	}

	#getRestMs(): number {
		return this.#getNeeds().some(need => need.waiting > 0) ? BUSY_POLL_MS : IDLE_POLL_MS;
	}

	async #refresh(): Promise<boolean> {
		try {
			const {status, upstreamId} = await this.#parts.client.getStatus();
			this.#status = status;
			this.#upstreamId = upstreamId === '' ? this.#upstreamId : upstreamId;
			this.#noteReachable(true, '');
			return true;
		} catch (error) {
			this.#noteReachable(false, (error as Error).message);
			return false;
		}
	}

	#noteReachable(isReachable: boolean, reason: string): void {
		if (this.#isReachable === isReachable) {
			return;
		}

		this.#isReachable = isReachable;
		this.#parts.logger.info({event: isReachable ? 'engine-reached' : 'engine-lost', upstreamId: this.#upstreamId, reason}, isReachable ? 'engine answers again' : 'engine does not answer');
	}

	#decide(): EngineOrder | undefined {
		if (!this.#capacity || this.#upstreamId === '') {
			return undefined;
		}

		return getNextOrder(this.#residency, this.#capacity, this.#getHoldings(this.#status!), this.#getNeeds());
	}

	/** Whether gateways were told of the order long enough ago; tells them if not. */
	#isNoticed(order: EngineOrder): boolean {
		const now = this.#parts.clock.now();
		const isSame = this.#leaving?.order.model === order.model && this.#leaving.order.adapter === order.adapter;
		if (!isSame) {
			this.#leaving = {order, since: now};
			this.#publish();
			return false;
		}

		return now - this.#leaving!.since >= NOTICE_MS;
	}

	async #order(order: EngineOrder): Promise<OrderResultValue> {
		const expectedSequence = this.#status!.orderSequence;
		const startedAt = this.#parts.clock.now();
		const reply = await this.#parts.client.order({
			order, upstreamId: this.#upstreamId, expectedSequence, holder: this.#parts.holder, fence: FENCE,
		});
		this.#parts.logger.info({
			event: 'order', order: order.kind, model: order.model, adapter: order.adapter, upstreamId: this.#upstreamId, expectedSequence, result: reply.result, reason: reply.reason, tookMs: Math.round(this.#parts.clock.now() - startedAt),
		}, 'engine ordered');
		if (reply.result === ORDER_RESULT.OtherEngine) {
			this.#upstreamId = reply.upstreamId;
		}

		return reply.result;
	}

	#publish(): void {
		const text = JSON.stringify(this.summary);
		if (text === this.#published) {
			return;
		}

		this.#published = text;
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
