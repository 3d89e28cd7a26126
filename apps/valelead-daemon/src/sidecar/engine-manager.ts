import {assertNever} from '@valelead/common';
import {
	type Capacity, type EngineOrder, type EngineModels, type OrderResultValue, type UnitNeed, type EngineCopies, ORDER_KIND, ORDER_RESULT,
	getLoadMs, getLoadValue, getNextStep, getWaits, isStoreLoad, mutateCopyLoadRate, getModelWaitMs, mutateLastUsedAt, mutateModelWaits, newResidencyState,
} from '@valelead/residency';
import type {Run, Upstream} from '@valelead/discovery';
import type {SpeedSamples} from '@valelead/protocol';
import type {EngineStatus} from '../adapter/engine-status.js';
import {NO_STORE_REPORT} from '../gateway/no-store-report.js';
import type {StoreReport} from '../gateway/store-report.js';
import {KnownRun} from './known-run.js';
import {LatestStatus} from './latest-status.js';
import type {EngineManagerOptions} from './engine-manager-options.js';
import {LoadDelayLog} from './load-delay-log.js';
import {MeasuredSpeed} from './measured-speed.js';
import {Prefetcher} from './prefetcher.js';
import {getBusyMs} from './get-busy-ms.js';
import {newOrderRecord} from './new-order-record.js';
import {newEngineSummary} from './new-engine-summary.js';
import {newEngineModels} from './new-engine-models.js';
import {StatusReader} from './status-reader.js';
import {SummaryPublisher} from './summary-publisher.js';
import {ReportedNeeds} from './reported-needs.js';
import {ReportedStore} from './reported-store.js';
import {RoundScheduler} from './round-scheduler.js';
import {UnansweredOrders} from './unanswered-orders.js';
import {UnloadNotice} from './unload-notice.js';
import type {EngineSummary} from './engine-summary.js';
import type {LoadInProgress} from './load-in-progress.js';

/**
 * Decides which models one engine loads and unloads, from the needs that gateways report and the engine's newest status, and sends it one
 * order at a time.
 */
export class EngineManager {
	readonly #parts: EngineManagerOptions;
	readonly #needs = new ReportedNeeds();
	readonly #store = new ReportedStore();
	readonly #scheduler: RoundScheduler;
	readonly #residency = newResidencyState();
	readonly #prefetcher: Prefetcher;
	readonly #publisher: SummaryPublisher;
	readonly #speed: MeasuredSpeed;
	readonly #delays: LoadDelayLog;
	readonly #reader: StatusReader;
	#capacity: Capacity | undefined;
	readonly #run = new KnownRun({
		onChange: () => {
			this.#forgetRun();
		},
	});

	readonly #unanswered = new UnansweredOrders();
	readonly #known = new LatestStatus();
	readonly #unloadNotice: UnloadNotice;
	/** The model load in progress; undefined if no load that this manager ordered is known to be running. */
	#loading: LoadInProgress | undefined;
	/** The time before which no order may be sent, in monotonic milliseconds. */
	#orderStartAt = Number.NEGATIVE_INFINITY;
	readonly #stopListeners = new Set<() => void>();

	constructor(parts: EngineManagerOptions) {
		this.#parts = parts;
		this.#scheduler = new RoundScheduler({
			timers: parts.timers, clock: parts.clock, minIntervalMs: parts.pollIntervals.minIntervalMs, runRound: async () => this.#runRound(),
		});
		this.#unloadNotice = new UnloadNotice(parts.clock);
		this.#prefetcher = new Prefetcher({...parts, getStore: () => this.#store.shared});
		this.#delays = new LoadDelayLog(parts);
		this.#reader = new StatusReader({...parts, run: this.#run});
		this.#publisher = new SummaryPublisher({...parts, getSummary: () => this.summary});
		this.#speed = new MeasuredSpeed({
			...parts,
			onJump: () => {
				this.#publisher.publishNow();
			},
			onAged: () => {
				this.#publisher.schedulePublish();
			},
		});
	}

	start(): void {
		this.#scheduler.wake();
	}

	stop(): void {
		this.#scheduler.stop();
		for (const listener of this.#stopListeners) {
			listener();
		}
	}

	/** Registers a listener that is called when the manager stops. Returns a function that removes the listener. */
	onStop(listener: () => void): () => void {
		this.#stopListeners.add(listener);
		return () => {
			this.#stopListeners.delete(listener);
		};
	}

	/** Sets the time before which no order may be sent, in monotonic milliseconds. */
	setOrderStart(startsAt: number): void {
		this.#orderStartAt = startsAt;
	}

	setCapacity(capacity: Capacity | undefined): void {
		this.#capacity = capacity;
		this.#scheduler.wake();
	}

	/** Updates which run of the engine is current, from an announcement. A run older than the known one is ignored. */
	setRun(run: Run): void {
		const before = this.#run.id;
		this.#run.update(run);
		if (this.#run.id !== before) {
			this.#scheduler.wake();
		}
	}

	/** Applies an announcement of an engine on another machine, which may show the end of an order sooner than a status poll does. */
	applyAnnouncement(upstream: Upstream): void {
		if (upstream.id === this.#run.id && this.#known.applyAnnouncement(upstream, this.#parts.clock.now())) {
			this.#loading = undefined;
			this.#scheduler.wake();
		}
	}

	/** Updates which models all engines of the service have loaded or keep copies of, including this engine. */
	setEngines(engines: readonly EngineCopies[]): void {
		this.#prefetcher.setEngines(engines, this.#run.id);
	}

	/** Registers a listener for changes of the engine's summary. Returns a function that removes the listener. */
	subscribe(listener: (summary: EngineSummary) => void): () => void {
		return this.#publisher.subscribe(listener);
	}

	/** Replaces the needs of the gateway at the other end of a stream, and what it knows about the weight store. */
	setNeeds(streamId: string, needs: readonly UnitNeed[], store: StoreReport = NO_STORE_REPORT): void {
		const reportedAt = this.#parts.clock.now();
		this.#needs.set(streamId, needs, reportedAt);
		this.#store.set(streamId, store);
		mutateLastUsedAt(this.#residency, needs, reportedAt);
		this.#prefetcher.noteNeeds(needs);
		this.#publisher.schedulePublish();
		if (needs.some(need => need.waiting > 0)) {
			this.#scheduler.wake();
		}
	}

	/** Adds what a gateway has measured at the engine; undefined if it measured nothing. */
	addSpeedSamples(samples: SpeedSamples | undefined): void {
		this.#speed.add(samples, this.#run.id);
	}

	removeStream(streamId: string): void {
		this.#needs.forget(streamId);
		this.#store.forget(streamId);
		this.#publisher.schedulePublish();
	}

	get summary(): EngineSummary | undefined {
		const status = this.#known.value;
		if (!status || this.#run.id === '') {
			return undefined;
		}

		const summary = newEngineSummary({
			upstreamId: this.#run.id,
			status,
			capacity: this.#capacity,
			engine: this.#getEngineModels(status),
			needs: this.#getNeeds(),
			unloading: this.#unloadNotice.order,
			loading: this.#loading,
			sustainedFetches: this.#store.shared.sustainedFetches,
			getModelWaitMs: model => getModelWaitMs(this.#residency, model),
			now: this.#parts.clock.now(),
		});
		return {...summary, ...this.#speed.published};
	}

	/** Discards the state of the engine's previous run: the new run has none of its models loaded and counts its orders from the start. */
	#forgetRun(): void {
		this.#known.reset();
		this.#speed.reset();
		this.#unloadNotice.end();
		this.#loading = undefined;
		this.#reader.expire();
	}

	#getEngineModels(status: EngineStatus): EngineModels {
		const unconfirmedLoads = this.#unanswered.getPossible(this.#run.id, status.orderSequence, this.#parts.clock.now());
		return newEngineModels(status, this.#prefetcher.loadedElsewhere, unconfirmedLoads);
	}

	#getNeeds(): UnitNeed[] {
		return this.#needs.getAll(this.#parts.clock.now());
	}

	/** Runs one planning round: polls the engine if needed, decides, and sends an order. Returns the time until the next round, in milliseconds. */
	async #runRound(): Promise<number> {
		const {pollIntervals} = this.#parts;
		if (!this.#isFresh()) {
			const status = await this.#reader.read();
			if (!status || this.#scheduler.isStopped) {
				return pollIntervals.idleMs;
			}

			if (!this.#known.update(status, this.#parts.clock.now())) {
				return pollIntervals.endingMs;
			}
		}

		const order = this.#decide();
		this.#publisher.publish();
		if (!order) {
			const {isBusy, pending} = this.#known.value!;
			return isBusy || pending.length > 0 ? this.#getBusyMs() : this.#getPollMs();
		}

		const noticeMs = order.kind === ORDER_KIND.Unload ? this.#announceUnload(order) : 0;
		if (noticeMs > 0) {
			return noticeMs;
		}

		this.#unloadNotice.end();
		const result = await this.#order(order);
		if (result === ORDER_RESULT.Conflict) {
			return pollIntervals.adapterMs;
		}

		return order.adapter === '' ? this.#getBusyMs() : pollIntervals.adapterMs;
	}

	#getBusyMs(): number {
		return getBusyMs(this.#parts.pollIntervals, this.#loading, this.#parts.clock.now());
	}

	#getPollMs(): number {
		return this.#needs.hasWaitingRequests ? this.#parts.pollIntervals.busyMs : this.#parts.pollIntervals.idleMs;
	}

	/** True if the known status is recent enough to decide on without polling the engine again. */
	#isFresh(): boolean {
		return this.#known.isCurrent && this.#reader.ageMs < this.#parts.pollIntervals.maxStatusAgeMs;
	}

	#decide(): EngineOrder | undefined {
		const now = this.#parts.clock.now();
		const mayOrder = now >= this.#orderStartAt && now < (this.#parts.getOrdersEnd?.() ?? Number.POSITIVE_INFINITY);
		if (!this.#capacity || this.#run.id === '' || !mayOrder) {
			return undefined;
		}

		const needs = this.#getNeeds();
		mutateModelWaits(this.#residency, needs, now);
		const fetched = this.#prefetcher.getNeeds(this.#run.id, [...this.#capacity.models.keys()]);
		const engine = this.#getEngineModels(this.#known.value!);
		const step = getNextStep(this.#residency, this.#capacity, engine, [...needs, ...fetched], now);
		switch (step.kind) {
			case 'order': {
				return step.order;
			}

			case 'delay': {
				this.#delays.note(step.load, {
					upstreamId: this.#run.id, capacity: this.#capacity, engine, needs, modelWaitMs: getModelWaitMs(this.#residency, step.load.model),
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

	/** Announces an unload to gateways. Returns the time to wait before the order may be sent, in milliseconds; 0 if it may be sent now. */
	#announceUnload(order: EngineOrder): number {
		if (this.#unloadNotice.begin(order)) {
			this.#publisher.publish();
		}

		return this.#unloadNotice.waitMs;
	}

	async #order(order: EngineOrder): Promise<OrderResultValue> {
		const status = this.#known.value!;
		const expectedSequence = status.orderSequence;
		const startedAt = this.#parts.clock.now();
		const runId = this.#run.id;
		const reply = await this.#parts.client.order({
			order, instanceId: this.#run.instanceId, expectedSequence, holder: this.#parts.holder, fence: this.#parts.fence,
		});
		this.#parts.logger.info(newOrderRecord(order, reply, {
			upstreamId: runId,
			expectedSequence,
			tookMs: this.#parts.clock.now() - startedAt,
			capacity: this.#capacity!,
			engine: this.#getEngineModels(status),
			needs: this.#getNeeds(),
			residency: this.#residency,
		}), 'engine ordered');
		if (reply.result === ORDER_RESULT.Unknown) {
			this.#unanswered.note(order, runId, expectedSequence, startedAt);
		}

		if (runId !== this.#run.id) {
			// A new run of the engine became known while the order was in progress; the order does not apply to it.
			return ORDER_RESULT.OtherEngine;
		}

		const isLoad = order.kind === ORDER_KIND.Load && order.adapter === '' && reply.result === ORDER_RESULT.Accepted;
		this.#loading = isLoad ? this.#newLoadInProgress(order.model, status, startedAt) : undefined;
		if (reply.result === ORDER_RESULT.Accepted) {
			this.#known.noteAccepted(order, expectedSequence, startedAt);
		} else {
			this.#reader.expire();
		}

		if (reply.result === ORDER_RESULT.OtherEngine && reply.instanceId !== '') {
			this.#run.update({instanceId: reply.instanceId, bornAt: 0});
		}

		return reply.result;
	}

	/**
	 * Describes a load that has begun. The value of a load from a local copy is recorded, as it decides whether a later load from the weight
	 * store may begin.
	 */
	#newLoadInProgress(model: string, status: EngineStatus, startedAt: number): LoadInProgress {
		const capacity = this.#capacity!;
		const engine = this.#getEngineModels(status);
		const loadMs = getLoadMs(capacity, engine, model);
		const isFetch = isStoreLoad(capacity, engine, model);
		if (!isFetch) {
			mutateCopyLoadRate(this.#residency, getLoadValue(getWaits(this.#getNeeds(), model), loadMs), startedAt);
		}

		return {
			model, startedAt, endsAt: startedAt + loadMs, isFetch,
		};
	}
}
