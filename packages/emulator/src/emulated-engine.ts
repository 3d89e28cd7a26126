import {EngineBatch} from './engine-batch.js';
import type {EngineRun} from './engine-run.js';
import type {EngineTerms} from './engine-terms.js';
import type {ModelTerms} from './model-terms.js';
import type {VirtualClock} from './virtual-clock.js';
import {WeightCopies} from './weight-copies.js';
import type {WeightStore} from './weight-store.js';

type EngineParts = {
	readonly clock: VirtualClock;
	readonly store: WeightStore;
	readonly terms: EngineTerms;
	readonly models: ReadonlyMap<string, ModelTerms>;
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

	readonly #parts: EngineParts;
	readonly #batch: EngineBatch;
	/** The adapters of each loaded model. */
	readonly #held = new Map<string, Set<string>>();
	readonly #memoryCopies: WeightCopies;
	readonly #diskCopies: WeightCopies;
	#order: ModelOrder | undefined;
	#orderedAt = 0;
	#sequence = 0;
	#isUp = true;
	#isBroken = false;

	constructor(parts: EngineParts) {
		this.#parts = parts;
		this.#memoryCopies = new WeightCopies(parts.terms.hostMemory);
		this.#diskCopies = new WeightCopies(parts.terms.diskMemory);
		this.#batch = new EngineBatch({
			clock: parts.clock,
			terms: parts.terms,
			getPace: model => (parts.models.get(model)?.pace ?? 1) * parts.slowness,
			onLeft: () => {
				this.#continueUnload();
			},
			onCrash: () => {
				this.#break();
			},
		});
	}

	get held(): ReadonlyMap<string, ReadonlySet<string>> {
		return this.#held;
	}

	get memoryCopies(): string[] {
		return this.#memoryCopies.names;
	}

	get diskCopies(): string[] {
		return this.#diskCopies.names;
	}

	get isBusy(): boolean {
		return this.#order !== undefined;
	}

	get isUp(): boolean {
		return this.#isUp;
	}

	/** True if the engine crashed while its machine stayed up, so that its port refuses connections. */
	get isBroken(): boolean {
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
	place(model: string): void {
		this.#held.set(model, new Set());
		this.keepCopy(model);
	}

	/** Stores a copy of a model in host memory and on disk. */
	keepCopy(model: string): void {
		this.#memoryCopies.use(model, this.#parts.models.get(model)!.weightMemory);
		this.keepDiskCopy(model);
	}

	/** Stores a copy of a model on disk only. */
	keepDiskCopy(model: string): void {
		this.#diskCopies.use(model, this.#parts.models.get(model)!.weightMemory);
	}

	/** Stops the engine permanently. Its unfinished requests receive no further callbacks. */
	crash(): void {
		this.#isUp = false;
		this.#held.clear();
	}

	/** Starts or queues a request. Rejects it if the engine is down, the model or adapter is not loaded, or the queue is full. */
	send(run: EngineRun): void {
		const isGoing = this.#order?.kind === 'unload' && this.#order.model === run.model;
		const adapters = this.#held.get(run.model);
		const isHeld = adapters !== undefined && (run.adapter === '' || adapters.has(run.adapter));
		if (!this.#isUp || !isHeld || isGoing) {
			run.onReject(true);
			return;
		}

		if (!this.#batch.take(run)) {
			run.onReject(false);
		}
	}

	/** Cancels a request whose caller has disconnected. */
	drop(run: EngineRun): void {
		this.#batch.drop(run);
	}

	/**
	 * Starts to load or unload a model. Returns false if another order is in progress or if the engine's order sequence number is not `expected`.
	 */
	order(order: ModelOrder, expected: number): boolean {
		if (!this.#isReady(expected)) {
			return false;
		}

		this.#sequence += 1;
		this.#order = order;
		this.#orderedAt = this.#parts.clock.now();
		if (order.kind === 'unload') {
			this.#batch.forget(order.model);
			this.#continueUnload();
		} else {
			this.#load(order.model);
		}

		return true;
	}

	/**
	 * Loads or unloads an adapter. Returns false if the model is not loaded, an order for a model is in progress, or the engine's order sequence
	 * number is not `expected`.
	 */
	orderAdapter(kind: 'load' | 'unload', model: string, adapter: string, expected: number): boolean {
		const adapters = this.#held.get(model);
		if (!adapters || !this.#isReady(expected)) {
			return false;
		}

		this.#sequence += 1;
		if (kind === 'unload') {
			adapters.delete(adapter);
		} else {
			this.#parts.clock.after(this.#parts.models.get(model)!.adapterLoadMs, () => {
				this.#held.get(model)?.add(adapter);
			});
		}

		return true;
	}

	#break(): void {
		this.#isBroken = true;
		this.crash();
		this.#batch.breakAll();
		this.#parts.onCrash?.();
	}

	#isReady(expected: number): boolean {
		return this.#isUp && this.#order === undefined && expected === this.#sequence;
	}

	/** Continues an unload once the model has no running requests. */
	#continueUnload(): void {
		const order = this.#order;
		if (order?.kind !== 'unload' || this.#batch.getRunning(order.model) > 0) {
			return;
		}

		this.#parts.clock.after(this.#parts.terms.unloadMs, () => {
			if (this.#order === order) {
				this.#held.delete(order.model);
				this.#endOrder();
			}
		});
	}

	#load(model: string): void {
		const terms = this.#parts.models.get(model)!;
		const pressure = 1 + (this.#batch.activeCount / this.#parts.terms.slots);
		const end = (): void => {
			if (this.#isUp) {
				this.#held.set(model, new Set());
				this.keepCopy(model);
				this.#endOrder();
			}
		};

		if (this.#memoryCopies.has(model)) {
			this.counts.memory += 1;
			this.#parts.clock.after(terms.memoryLoadMs * pressure, end);
		} else if (this.#diskCopies.has(model)) {
			this.counts.disk += 1;
			this.#parts.clock.after(terms.diskLoadMs * pressure, end);
		} else {
			this.counts.store += 1;
			this.#parts.store.fetch(terms.storeLoadMs * pressure, end);
		}
	}

	#endOrder(): void {
		this.counts.busyMs += this.#parts.clock.now() - this.#orderedAt;
		this.#order = undefined;
		this.#parts.onOrderEnd?.();
	}
}
