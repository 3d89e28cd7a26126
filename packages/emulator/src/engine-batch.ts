import type {EngineRun} from './engine-run.js';
import type {EngineTerms} from './engine-terms.js';
import type {VirtualClock} from './virtual-clock.js';

type ActiveRun = {
	readonly run: EngineRun;
	unreadTokens: number;
	madeTokens: number;
};

type BatchParts = {
	readonly clock: VirtualClock;
	readonly terms: EngineTerms;
	readonly getPace: (model: string) => number;
	/** Called when a request has ended or was cancelled. */
	readonly onLeft: () => void;
	/** Called when a request crashes the engine. */
	readonly onCrash: () => void;
};

/** A request that crashes its engine does so at this token, before its first event is sent, or at its last token if that comes earlier. */
const CRASH_TOKEN = 3;

/** Emulates continuous batching: each step reads a chunk of the waiting prompts and generates one token for each request whose prompt is read. */
export class EngineBatch {
	readonly #parts: BatchParts;
	readonly #active: ActiveRun[] = [];
	readonly #queued: EngineRun[] = [];
	/** Models whose shared prompt prefix is in the cache. */
	readonly #cached = new Set<string>();
	#isStepping = false;

	constructor(parts: BatchParts) {
		this.#parts = parts;
	}

	get activeCount(): number {
		return this.#active.length;
	}

	get queuedCount(): number {
		return this.#queued.length;
	}

	/** Returns the number of running requests of a model. */
	getRunning(model: string): number {
		return this.#active.filter(({run}) => run.model === model).length;
	}

	/** Starts or queues a request. Returns false if the queue is full. */
	take(run: EngineRun): boolean {
		const {slots, maxQueued} = this.#parts.terms;
		if (this.#active.length < slots) {
			this.#admit(run);
			return true;
		}

		if (this.#queued.length >= maxQueued) {
			return false;
		}

		this.#queued.push(run);
		return true;
	}

	/** Cancels a running or queued request whose caller has disconnected. */
	drop(run: EngineRun): void {
		const queuedAt = this.#queued.indexOf(run);
		if (queuedAt !== -1) {
			this.#queued.splice(queuedAt, 1);
		}

		const activeAt = this.#active.findIndex(active => active.run === run);
		if (activeAt !== -1) {
			this.#active.splice(activeAt, 1);
			this.#parts.onLeft();
			this.#fill();
		}
	}

	/** Aborts all running and queued requests, as when the engine crashes. */
	breakAll(): void {
		const runs = [...this.#active.map(({run}) => run), ...this.#queued];
		this.#active.length = 0;
		this.#queued.length = 0;
		for (const run of runs) {
			run.onBroken();
		}
	}

	/** Rejects the queued requests of a model that is being unloaded, and evicts its prompt prefix from the cache. */
	forget(model: string): void {
		this.#cached.delete(model);
		for (const run of this.#queued.filter(queued => queued.model === model)) {
			this.#queued.splice(this.#queued.indexOf(run), 1);
			run.onReject(true);
		}
	}

	#admit(run: EngineRun): void {
		const sharedTokens = this.#cached.has(run.model) ? 0 : run.sharedTokens;
		this.#active.push({run, unreadTokens: run.ownTokens + sharedTokens, madeTokens: 0});
		this.#step();
	}

	#fill(): void {
		while (this.#active.length < this.#parts.terms.slots && this.#queued.length > 0) {
			const [next] = this.#queued.toSorted((left, right) => left.priority - right.priority);
			this.#queued.splice(this.#queued.indexOf(next), 1);
			this.#admit(next);
		}
	}

	#step(): void {
		if (this.#isStepping || this.#active.length === 0) {
			return;
		}

		this.#isStepping = true;
		const decoding = this.#active.filter(({unreadTokens}) => unreadTokens === 0);
		const readMs = this.#read();
		this.#parts.clock.after(readMs + this.#getDecodeMs(decoding), () => {
			this.#isStepping = false;
			this.#make(decoding);
			this.#fill();
			this.#step();
		});
	}

	/** Reads the next chunk of prompt tokens and returns the time that this takes, in milliseconds. */
	#read(): number {
		const {chunkTokens, promptTokensPerMs} = this.#parts.terms;
		let budget = chunkTokens;
		let readMs = 0;
		for (const active of this.#active) {
			const tokens = Math.min(budget, active.unreadTokens);
			active.unreadTokens -= tokens;
			budget -= tokens;
			readMs += tokens / promptTokensPerMs * this.#parts.getPace(active.run.model);
			if (tokens > 0 && active.unreadTokens === 0) {
				this.#cached.add(active.run.model);
			}
		}

		return readMs;
	}

	#getDecodeMs(decoding: readonly ActiveRun[]): number {
		const {stepMs, stepMsPerRun} = this.#parts.terms;
		if (decoding.length === 0) {
			return 0;
		}

		const pace = decoding.reduce((sum, {run}) => sum + this.#parts.getPace(run.model), 0) / decoding.length;
		return (stepMs + (stepMsPerRun * decoding.length)) * pace;
	}

	#make(decoding: readonly ActiveRun[]): void {
		for (const active of decoding) {
			if (!this.#active.includes(active)) {
				continue;
			}

			active.madeTokens += 1;
			if (active.madeTokens === 1) {
				active.run.onBegin();
			}

			if (active.run.isCrashing && active.madeTokens === Math.min(CRASH_TOKEN, active.run.newTokens)) {
				this.#parts.onCrash();
				return;
			}

			const isLast = active.madeTokens >= active.run.newTokens;
			if (isLast || active.madeTokens % this.#parts.terms.tokensPerEvent === 0) {
				active.run.onEvent();
			}

			if (isLast) {
				this.#active.splice(this.#active.indexOf(active), 1);
				active.run.onEnd();
				this.#parts.onLeft();
			}
		}
	}
}
