import type {EngineRequest} from './engine-request.js';
import type {EngineParameters} from './engine-parameters.js';
import type {VirtualClock} from './virtual-clock.js';

type ActiveRequest = {
	readonly request: EngineRequest;
	unreadPromptTokens: number;
	generatedTokens: number;
};

type BatchOptions = {
	readonly clock: VirtualClock;
	readonly terms: EngineParameters;
	readonly getStepFactor: (model: string) => number;
	/** Called when a request has ended or was cancelled. */
	readonly onRequestEnd: () => void;
	/** Called when a request crashes the engine. */
	readonly onCrash: () => void;
};

/** A request that crashes its engine does so at this token, before its first event is sent, or at its last token if that comes earlier. */
const CRASH_TOKEN = 3;

/** Emulates continuous batching: each step reads a chunk of the waiting prompts and generates one token for each request whose prompt is read. */
export class EngineBatch {
	readonly #options: BatchOptions;
	readonly #running: ActiveRequest[] = [];
	readonly #queued: EngineRequest[] = [];
	/** Models whose shared prompt prefix is in the cache. */
	readonly #cachedPrefixes = new Set<string>();
	#isStepping = false;

	constructor(options: BatchOptions) {
		this.#options = options;
	}

	get activeCount(): number {
		return this.#running.length;
	}

	get queuedCount(): number {
		return this.#queued.length;
	}

	/** Returns the number of running requests of a model. */
	getRunningCount(model: string): number {
		return this.#running.filter(({request}) => request.model === model).length;
	}

	/** Starts or queues a request. Returns false if the queue is full. */
	enqueue(request: EngineRequest): boolean {
		const {slots, maxQueued} = this.#options.terms;
		if (this.#running.length < slots) {
			this.#admit(request);
			return true;
		}

		if (this.#queued.length >= maxQueued) {
			return false;
		}

		this.#queued.push(request);
		return true;
	}

	/** Cancels a running or queued request whose caller has disconnected. */
	cancel(request: EngineRequest): void {
		const queuedAt = this.#queued.indexOf(request);
		if (queuedAt !== -1) {
			this.#queued.splice(queuedAt, 1);
		}

		const activeAt = this.#running.findIndex(active => active.request === request);
		if (activeAt !== -1) {
			this.#running.splice(activeAt, 1);
			this.#options.onRequestEnd();
			this.#admitQueued();
		}
	}

	/** Aborts all running and queued requests, as when the engine crashes. */
	abortAll(): void {
		const requests = [...this.#running.map(({request}) => request), ...this.#queued];
		this.#running.length = 0;
		this.#queued.length = 0;
		for (const request of requests) {
			request.onConnectionLost();
		}
	}

	/** Rejects the queued requests of a model that is being unloaded, and evicts its prompt prefix from the cache. */
	removeModel(model: string): void {
		this.#cachedPrefixes.delete(model);
		for (const request of this.#queued.filter(queued => queued.model === model)) {
			this.#queued.splice(this.#queued.indexOf(request), 1);
			request.onReject(true);
		}
	}

	#admit(request: EngineRequest): void {
		const sharedTokens = this.#cachedPrefixes.has(request.model) ? 0 : request.sharedTokens;
		this.#running.push({request, unreadPromptTokens: request.ownTokens + sharedTokens, generatedTokens: 0});
		this.#step();
	}

	#admitQueued(): void {
		while (this.#running.length < this.#options.terms.slots && this.#queued.length > 0) {
			const [next] = this.#queued.toSorted((left, right) => left.priority - right.priority);
			this.#queued.splice(this.#queued.indexOf(next), 1);
			this.#admit(next);
		}
	}

	#step(): void {
		if (this.#isStepping || this.#running.length === 0) {
			return;
		}

		this.#isStepping = true;
		const decoding = this.#running.filter(({unreadPromptTokens}) => unreadPromptTokens === 0);
		const readMs = this.#readPrompts();
		this.#options.clock.schedule(readMs + this.#getDecodeMs(decoding), () => {
			this.#isStepping = false;
			this.#generateTokens(decoding);
			this.#admitQueued();
			this.#step();
		});
	}

	/** Reads the next chunk of prompt tokens and returns the time that this takes, in milliseconds. */
	#readPrompts(): number {
		const {chunkTokens, promptTokensPerMs} = this.#options.terms;
		let budget = chunkTokens;
		let readMs = 0;
		for (const active of this.#running) {
			const tokens = Math.min(budget, active.unreadPromptTokens);
			active.unreadPromptTokens -= tokens;
			budget -= tokens;
			readMs += tokens / promptTokensPerMs * this.#options.getStepFactor(active.request.model);
			if (tokens > 0 && active.unreadPromptTokens === 0) {
				this.#cachedPrefixes.add(active.request.model);
			}
		}

		return readMs;
	}

	#getDecodeMs(decoding: readonly ActiveRequest[]): number {
		const {stepMs, stepMsPerRun} = this.#options.terms;
		if (decoding.length === 0) {
			return 0;
		}

		const stepFactor = decoding.reduce((sum, {request}) => sum + this.#options.getStepFactor(request.model), 0) / decoding.length;
		return (stepMs + (stepMsPerRun * decoding.length)) * stepFactor;
	}

	#generateTokens(decoding: readonly ActiveRequest[]): void {
		for (const active of decoding) {
			if (!this.#running.includes(active)) {
				continue;
			}

			active.generatedTokens += 1;
			if (active.generatedTokens === 1) {
				active.request.onFirstToken();
			}

			if (active.request.isCrashing && active.generatedTokens === Math.min(CRASH_TOKEN, active.request.newTokens)) {
				this.#options.onCrash();
				return;
			}

			const isLast = active.generatedTokens >= active.request.newTokens;
			if (isLast || active.generatedTokens % this.#options.terms.tokensPerEvent === 0) {
				active.request.onEvent();
			}

			if (isLast) {
				this.#running.splice(this.#running.indexOf(active), 1);
				active.request.onEnd();
				this.#options.onRequestEnd();
			}
		}
	}
}
