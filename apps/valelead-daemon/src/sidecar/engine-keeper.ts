import {
	assertNever, type Clock, type TimerService, type TimerSubscription,
} from '@valelead/common';
import {
	type Capacity, type EngineOrder, type Holdings, type OrderResultValue, type UnitNeed, type EngineCopies, ORDER_KIND, ORDER_RESULT, getMergedNeeds,
	getAgedNeed, getLoadMs, getLoadValue, getNextStep, getWaits, isStoreLoad, mutateCopyLoad, getWantedMs, mutateUse, mutateWanted, newResidencyState,
} from '@valelead/residency';
import type {Logger} from 'pino';
import type {EngineStatus} from '../adapter/engine-status.js';
import type {EnginePort} from './engine-port.js';
import {LoadDelayLog} from './load-delay-log.js';
import {Prefetcher} from './prefetcher.js';
import {getOrderInputs} from './get-order-inputs.js';
import {newEngineSummary} from './new-engine-summary.js';
import {newHoldings} from './new-holdings.js';
import type {PollTimes} from './poll-times.js';
import {SummaryPublisher} from './summary-publisher.js';
import type {EngineSummary} from './engine-summary.js';
import type {LoadInProgress} from './load-in-progress.js';

type KeeperParts = {
	readonly holder: string;
	/** Engines that fetch from the weight store at once, over the installation, while they are idle. */
	readonly concurrentStoreLoads: number;
	readonly client: EnginePort;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
	/** The fencing number of the orders. */
	readonly fence: number;
	readonly polls: PollTimes;
	/** Until when orders may be given, in monotonic milliseconds; for ever where nobody else may. */
	readonly getOrdersEnd?: () => number;
};

/** The needs of one gateway, and when it told them. */
type ToldNeeds = {
	readonly needs: readonly UnitNeed[];
	readonly toldAt: number;
};

/** Between the word that a model goes and the order: gateways stop sending for it, in milliseconds. */
const NOTICE_MS = 30;

/** A state that lacks the last order is old news for this long, in milliseconds; then the order is taken as not carried out. */
const STALE_MS = 1000;

/** Gives the engine the orders that its gateways' needs call for, one after the other, from its newest state. */
export class EngineKeeper {
	readonly #parts: KeeperParts;
	readonly #needs = new Map<string, ToldNeeds>();
	readonly #residency = newResidencyState();
	readonly #prefetcher: Prefetcher;
	readonly #publisher: SummaryPublisher;
	readonly #delays: LoadDelayLog;
	#capacity: Capacity | undefined;
	#upstreamId = '';
	#status: EngineStatus | undefined;
	/** What is announced to go, and since when. */
	#leaving: {readonly order: EngineOrder; readonly since: number} | undefined;
	/** The load in progress, and when it is expected to end. */
	#loading: LoadInProgress | undefined;
	#timer: TimerSubscription | undefined;
	#isRunning = false;
	#isAgain = false;
	#isStopped = false;
	#isReachable = true;
	/** From when on orders may be given, in monotonic milliseconds. */
	#startsAt = Number.NEGATIVE_INFINITY;
	#polledAt = Number.NEGATIVE_INFINITY;
	/** The state that the last order leads to, and until when an older one is not believed. */
	#awaited = {sequence: 0, until: Number.NEGATIVE_INFINITY};
	readonly #stopListeners = new Set<() => void>();

	constructor(parts: KeeperParts) {
		this.#parts = parts;
		this.#prefetcher = new Prefetcher(parts);
		this.#delays = new LoadDelayLog(parts);
		this.#publisher = new SummaryPublisher({...parts, getSummary: () => this.summary});
	}

	start(): void {
		this.#wake();
	}

	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
		for (const listener of this.#stopListeners) {
			listener();
		}
	}

	/** Calls back when the keeper stops. */
	onStop(listener: () => void): () => void {
		this.#stopListeners.add(listener);
		return () => {
			this.#stopListeners.delete(listener);
		};
	}

	/** Gives no order before a time, in monotonic milliseconds. */
	setStart(startsAt: number): void {
		this.#startsAt = startsAt;
	}

	setCapacity(capacity: Capacity | undefined): void {
		this.#capacity = capacity;
		this.#wake();
	}

	setUpstreamId(upstreamId: string): void {
		if (upstreamId !== '' && upstreamId !== this.#upstreamId) {
			this.#upstreamId = upstreamId;
			this.#awaited = {sequence: 0, until: Number.NEGATIVE_INFINITY};
			this.#wake();
		}
	}

	/** Learns what the engines of the service keep, this one among them. */
	setEngines(engines: readonly EngineCopies[]): void {
		this.#prefetcher.setEngines(engines, this.#upstreamId);
	}

	/** Calls back with the summary whenever it changes. */
	subscribe(listener: (summary: EngineSummary) => void): () => void {
		return this.#publisher.subscribe(listener);
	}

	/** Takes the whole need of the gateway at the other end of a stream. */
	setNeeds(streamId: string, needs: readonly UnitNeed[]): void {
		const toldAt = this.#parts.clock.now();
		this.#needs.set(streamId, {needs, toldAt});
		mutateUse(this.#residency, needs, toldAt);
		this.#prefetcher.noteNeeds(needs);
		this.#publisher.publishSoon();
		if (needs.some(need => need.waiting > 0)) {
			this.#wake();
		}
	}

	forgetStream(streamId: string): void {
		this.#needs.delete(streamId);
		this.#publisher.publishSoon();
	}

	get summary(): EngineSummary | undefined {
		const status = this.#status;
		if (!status || this.#upstreamId === '') {
			return undefined;
		}

		return newEngineSummary({
			upstreamId: this.#upstreamId,
			status,
			capacity: this.#capacity,
			holdings: this.#getHoldings(status),
			needs: this.#getNeeds(),
			leaving: this.#leaving?.order,
			loading: this.#loading,
			getWantedMs: model => getWantedMs(this.#residency, model),
			now: this.#parts.clock.now(),
		});
	}

	#getHoldings(status: EngineStatus): Holdings {
		return newHoldings(status, this.#prefetcher.replicated);
	}

	#getNeeds(): UnitNeed[] {
		const now = this.#parts.clock.now();
		return getMergedNeeds([...this.#needs.values()].flatMap(({needs, toldAt}) => needs.map(need => getAgedNeed(need, now - toldAt))));
	}

	#wake(): void {
		if (this.#isRunning) {
			this.#isAgain = true;
			return;
		}

		this.#timer?.cancel();
		this.#runAfter(0);
	}

	/** Takes the next turn after a time, but not sooner than the engine may be asked again. */
	#runAfter(waitMs: number): void {
		const restMs = this.#polledAt + this.#parts.polls.leastMs - this.#parts.clock.now();
		const dueMs = Math.max(waitMs, restMs);
		if (dueMs <= 0) {
			void this.#run();
			return;
		}

		this.#timer = this.#parts.timers.after(dueMs, () => {
			void this.#run();
		});
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
		this.#timer?.cancel();
		this.#runAfter(this.#isAgain ? 0 : waitMs);
	}

	async #turn(): Promise<number> {
		const {polls} = this.#parts;
		if (!await this.#refresh() || this.#isStopped) {
			return polls.idleMs;
		}

		if (this.#isStale()) {
			return polls.endingMs;
		}

		const order = this.#decide();
		this.#publisher.publish();
		if (!order) {
			return this.#status!.isBusy || this.#status!.pending.length > 0 ? this.#getBusyMs() : this.#getRestMs();
		}

		if (order.kind === ORDER_KIND.Unload && !this.#isNoticed(order)) {
			return NOTICE_MS;
		}

		this.#leaving = undefined;
		const result = await this.#order(order);
		if (result === ORDER_RESULT.Conflict) {
			return polls.adapterMs;
		}

		return order.adapter === '' ? this.#getBusyMs() : polls.adapterMs;
	}

	/** Until the engine is asked again while it carries out an order: an unload may end at any moment, a load when it is expected to. */
	#getBusyMs(): number {
		const {busyMs, endingMs} = this.#parts.polls;
		const remainingMs = this.#loading ? this.#loading.endsAt - this.#parts.clock.now() : 0;
		return Math.min(busyMs, Math.max(endingMs, remainingMs - endingMs));
	}

	#getRestMs(): number {
		const isWaiting = [...this.#needs.values()].some(({needs}) => needs.some(need => need.waiting > 0));
		return isWaiting ? this.#parts.polls.busyMs : this.#parts.polls.idleMs;
	}

	/** Whether the engine's state is older than the last order that it took, as a state from another machine may be. */
	#isStale(): boolean {
		return this.#status!.orderSequence < this.#awaited.sequence && this.#parts.clock.now() < this.#awaited.until;
	}

	async #refresh(): Promise<boolean> {
		this.#polledAt = this.#parts.clock.now();
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
		const now = this.#parts.clock.now();
		const mayOrder = now >= this.#startsAt && now < (this.#parts.getOrdersEnd?.() ?? Number.POSITIVE_INFINITY);
		if (!this.#capacity || this.#upstreamId === '' || !mayOrder) {
			return undefined;
		}

		const needs = this.#getNeeds();
		mutateWanted(this.#residency, needs, now);
		const fetched = this.#prefetcher.getNeeds(this.#upstreamId, [...this.#capacity.models.keys()]);
		const holdings = this.#getHoldings(this.#status!);
		const step = getNextStep(this.#residency, this.#capacity, holdings, [...needs, ...fetched], now);
		switch (step.kind) {
			case 'order': {
				return step.order;
			}

			case 'delay': {
				this.#delays.note(step.load, {
					upstreamId: this.#upstreamId, capacity: this.#capacity, holdings, needs, wantedMs: getWantedMs(this.#residency, step.load.model),
				});
				return undefined;
			}

			case 'rest': {
				return undefined;
			}

			default: {
				return assertNever(step);
			}
		}
	}

	/** Whether gateways were told of the order long enough ago; tells them if not. */
	#isNoticed(order: EngineOrder): boolean {
		const now = this.#parts.clock.now();
		const isSame = this.#leaving?.order.model === order.model && this.#leaving.order.adapter === order.adapter;
		if (!isSame) {
			this.#leaving = {order, since: now};
			this.#publisher.publish();
			return false;
		}

		return now - this.#leaving!.since >= NOTICE_MS;
	}

	async #order(order: EngineOrder): Promise<OrderResultValue> {
		const expectedSequence = this.#status!.orderSequence;
		const startedAt = this.#parts.clock.now();
		const reply = await this.#parts.client.order({
			order, upstreamId: this.#upstreamId, expectedSequence, holder: this.#parts.holder, fence: this.#parts.fence,
		});
		this.#parts.logger.info({
			event: 'order',
			order: order.kind,
			model: order.model,
			adapter: order.adapter,
			upstreamId: this.#upstreamId,
			expectedSequence,
			result: reply.result,
			reason: reply.reason,
			tookMs: Math.round(this.#parts.clock.now() - startedAt),
			...getOrderInputs(order, {
				capacity: this.#capacity!, holdings: this.#getHoldings(this.#status!), needs: this.#getNeeds(), residency: this.#residency,
			}),
		}, 'engine ordered');
		const isLoad = order.kind === ORDER_KIND.Load && order.adapter === '' && reply.result === ORDER_RESULT.Accepted;
		this.#loading = isLoad ? this.#noteLoad(order.model, startedAt) : undefined;
		if (reply.result === ORDER_RESULT.Accepted) {
			this.#awaited = {sequence: expectedSequence + 1, until: startedAt + STALE_MS};
		}

		if (reply.result === ORDER_RESULT.OtherEngine) {
			this.#upstreamId = reply.upstreamId;
		}

		return reply.result;
	}

	/** The load that has begun. What loads from copies count decides later whether one from the weight store may begin. */
	#noteLoad(model: string, startedAt: number): LoadInProgress {
		const capacity = this.#capacity!;
		const holdings = this.#getHoldings(this.#status!);
		const loadMs = getLoadMs(capacity, holdings, model);
		if (!isStoreLoad(capacity, holdings, model)) {
			mutateCopyLoad(this.#residency, getLoadValue(getWaits(this.#getNeeds(), model), loadMs), startedAt);
		}

		return {model, endsAt: startedAt + loadMs};
	}
}
