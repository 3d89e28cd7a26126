import {EngineBatch} from './engine-batch.js';
import type {EngineRequest} from './engine-request.js';
import type {EngineParameters} from './engine-parameters.js';
import type {ModelParameters} from './model-parameters.js';
import type {VirtualClock} from './virtual-clock.js';
import {WeightCopies} from './weight-copies.js';
import type {WeightStore} from './weight-store.js';

type EngineOptions = {
	readonly clock: VirtualClock;
	readonly store: WeightStore;
	readonly terms: EngineParameters;
	readonly models: ReadonlyMap<string, ModelParameters>;
	/** Factor by which the engine is slower than its parameters say. */
	readonly slowness: number;
	/** Called when the load or unload of a model has ended. */
	readonly onOrderEnd?: () => void;
	/** Called when a request has crashed the engine. */
	readonly onCrash?: () => void;
};

/** An order to load or unload a model. */
type ModelOrder = {
	readonly kind: 'load' | 'unload';
	readonly model: string;
};

/** Number of loads by the source of the weights, and the total time that loads and unloads took, in milliseconds. */
type LoadCounts = {
	memory: number;
	disk: number;
	store: number;
	busyMs: number;
};

/** Emulates a model engine. It executes one load or unload of a model at a time, and serves its loaded models meanwhile. */
export class EmulatedEngine {
	readonly counts: LoadCounts = {
		memory: 0, disk: 0, store: 0, busyMs: 0,
	};

	readonly #options: EngineOptions;
	readonly #batch: EngineBatch;
	/** The adapters of each loaded model. */
	readonly #loadedModels = new Map<string, Set<string>>();
	readonly #memoryCopies: WeightCopies;
	readonly #diskCopies: WeightCopies;
	#currentOrder: ModelOrder | undefined;
	#orderStartedAt = 0;
	#sequence = 0;
	#isUp = true;
	#isBroken = false;

	constructor(options: EngineOptions) {
		this.#options = options;
		this.#memoryCopies = new WeightCopies(options.terms.hostMemory);
		this.#diskCopies = new WeightCopies(options.terms.diskMemory);
		this.#batch = new EngineBatch({
			clock: options.clock,
			terms: options.terms,
			getStepFactor: model => (options.models.get(model)?.pace ?? 1) * options.slowness,
			onRequestEnd: () => {
				this.#continueUnload();
			},
			onCrash: () => {
				this.#handleCrash();
			},
		});
	}

	get loadedModels(): ReadonlyMap<string, ReadonlySet<string>> {
		return this.#loadedModels;
	}

	get memoryCopies(): string[] {
		return this.#memoryCopies.names;
	}

	get diskCopies(): string[] {
		return this.#diskCopies.names;
	}

	get isBusy(): boolean {
		return this.#currentOrder !== undefined;
	}

	get isUp(): boolean {
		return this.#isUp;
	}

	/** True if the engine crashed while its machine stayed up, so that its port refuses connections. */
	get hasCrashed(): boolean {
		return this.#isBroken;
	}

	get sequence(): number {
		return this.#sequence;
	}

	get activeCount(): number {
		return this.#batch.activeCount;
	}

	get queuedCount(): number {
		return this.#batch.queuedCount;
	}

	/** Loads a model without delay, with copies in host memory and on disk. Used to set up an installation at its start. */
	preload(model: string): void {
		this.#loadedModels.set(model, new Set());
		this.keepCopy(model);
	}

	/** Stores a copy of a model in host memory and on disk. */
	keepCopy(model: string): void {
		this.#memoryCopies.use(model, this.#options.models.get(model)!.weightMemory);
		this.keepDiskCopy(model);
	}

	/** Stores a copy of a model on disk only. */
	keepDiskCopy(model: string): void {
		this.#diskCopies.use(model, this.#options.models.get(model)!.weightMemory);
	}

	/** Stops the engine permanently. Its unfinished requests receive no further callbacks. */
	crash(): void {
		this.#isUp = false;
		this.#loadedModels.clear();
	}

	/** Starts or queues a request. Rejects it if the engine is down, the model or adapter is not loaded, or the queue is full. */
	send(request: EngineRequest): void {
		const isUnloading = this.#currentOrder?.kind === 'unload' && this.#currentOrder.model === request.model;
		const adapters = this.#loadedModels.get(request.model);
		const isLoaded = adapters !== undefined && (request.adapter === '' || adapters.has(request.adapter));
		if (!this.#isUp || !isLoaded || isUnloading) {
			request.onReject(true);
			return;
		}

		if (!this.#batch.enqueue(request)) {
			request.onReject(false);
		}
	}

	/** Cancels a request whose caller has disconnected. */
	cancel(request: EngineRequest): void {
		this.#batch.cancel(request);
	}

	/**
	 * Starts to load or unload a model. Returns false if another order is in progress or if the engine's order sequence number is not `expected`.
	 */
	order(order: ModelOrder, expected: number): boolean {
		if (!this.#canStartOrder(expected)) {
			return false;
		}

		this.#sequence += 1;
		this.#currentOrder = order;
		this.#orderStartedAt = this.#options.clock.now();
		if (order.kind === 'unload') {
			this.#batch.removeModel(order.model);
			this.#continueUnload();
		} else {
			this.#startLoad(order.model);
		}

		return true;
	}

	/**
	 * Loads or unloads an adapter. Returns false if the model is not loaded, an order for a model is in progress, or the engine's order sequence
	 * number is not `expected`.
	 */
	orderAdapter(kind: 'load' | 'unload', model: string, adapter: string, expected: number): boolean {
		const adapters = this.#loadedModels.get(model);
		if (!adapters || !this.#canStartOrder(expected)) {
			return false;
		}

		this.#sequence += 1;
		if (kind === 'unload') {
			adapters.delete(adapter);
		} else {
			this.#options.clock.schedule(this.#options.models.get(model)!.adapterLoadMs, () => {
				this.#loadedModels.get(model)?.add(adapter);
			});
		}

		return true;
	}

	#handleCrash(): void {
		this.#isBroken = true;
		this.crash();
		this.#batch.abortAll();
		this.#options.onCrash?.();
	}

	#canStartOrder(expected: number): boolean {
		return this.#isUp && this.#currentOrder === undefined && expected === this.#sequence;
	}

	/** Continues an unload once the model has no running requests. */
	#continueUnload(): void {
		const order = this.#currentOrder;
		if (order?.kind !== 'unload' || this.#batch.getRunningCount(order.model) > 0) {
			return;
		}

		this.#options.clock.schedule(this.#options.terms.unloadMs, () => {
			if (this.#currentOrder === order) {
				this.#loadedModels.delete(order.model);
				this.#endOrder();
			}
		});
	}

	#startLoad(model: string): void {
		const terms = this.#options.models.get(model)!;
		const pressure = 1 + (this.#batch.activeCount / this.#options.terms.slots);
		const end = (): void => {
			if (this.#isUp) {
				this.#loadedModels.set(model, new Set());
				this.keepCopy(model);
				this.#endOrder();
			}
		};

		if (this.#memoryCopies.has(model)) {
			this.counts.memory += 1;
			this.#options.clock.schedule(terms.memoryLoadMs * pressure, end);
		} else if (this.#diskCopies.has(model)) {
			this.counts.disk += 1;
			this.#options.clock.schedule(terms.diskLoadMs * pressure, end);
		} else {
			this.counts.store += 1;
			this.#options.store.fetch(terms.storeLoadMs * pressure, end);
		}
	}

	#endOrder(): void {
		this.counts.busyMs += this.#options.clock.now() - this.#orderStartedAt;
		this.#currentOrder = undefined;
		this.#options.onOrderEnd?.();
	}
}
