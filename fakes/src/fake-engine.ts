import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, request, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {readJson} from './read-json.js';
import {writeJson} from './write-json.js';
import type {EngineBooks} from './engine-books.js';
import type {EngineOptions} from './engine-options.js';

type LoadedUnit = {
	readonly unit: string;
	state: 'loading' | 'ready';
	readonly memoryBytes: number;
};

type Order = {
	readonly unit: string;
	readonly memoryBytes: number;
	readonly fence: number;
};

type ChatBody = {
	readonly model?: string;
	readonly stream?: boolean;
	readonly max_tokens?: number;
	readonly messages?: ReadonlyArray<{readonly content?: string}>;
	readonly prompt?: string;
};

const BYTES_PER_GIB = 2 ** 30;
const DEFAULT_TOKENS = 8;

/** A stand-in for a model engine: loads take time from the weight store, tokens come one by one. */
export class FakeEngine {
	readonly #options: EngineOptions;
	readonly #incarnation = randomUUID();
	readonly #units = new Map<string, LoadedUnit>();
	readonly #cached = new Set<string>();
	readonly #books: EngineBooks = {
		ran: [], orders: [], peakMemoryBytes: 0, inProgress: 0, peakInProgress: 0,
	};

	#highestFence = 0;
	#isLeaving = false;

	constructor(options: EngineOptions) {
		this.#options = options;
	}

	listen(): Server {
		return createServer((message, response) => {
			void this.#serve(message, response);
		}).listen(this.#options.port, this.#options.host);
	}

	async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readJson(message);
		switch (message.url) {
			case '/upstream/status': {
				writeJson(response, 200, this.#getStatus());
				return;
			}

			case '/upstream/load': {
				await this.#load(body as Order, response);
				return;
			}

			case '/upstream/unload': {
				this.#unload(body as Order, response);
				return;
			}

			case '/books': {
				writeJson(response, 200, this.#books);
				return;
			}

			case '/leave': {
				this.#isLeaving = true;
				writeJson(response, 200, {});
				return;
			}

			default: {
				await this.#complete(body, message, response);
			}
		}
	}

	#getStatus(): unknown {
		return {
			incarnation: this.#incarnation,
			memoryBytes: this.#options.memoryBytes,
			units: [...this.#units.values()],
			cached: [...this.#cached],
			service: '',
			capacity: this.#options.capacity,
			isLeaving: this.#isLeaving,
			abilities: {checksFence: this.#options.checksFence, resumesStreams: false, honoursPriorities: false},
		};
	}

	get #usedBytes(): number {
		return [...this.#units.values()].reduce((sum, unit) => sum + unit.memoryBytes, 0);
	}

	#isOldFence(fence: number): boolean {
		const isOld = this.#options.checksFence && fence < this.#highestFence;
		this.#highestFence = Math.max(this.#highestFence, fence);
		return isOld;
	}

	/** Memory is not checked here: the books show whether the agent ever ordered too much. */
	async #load(order: Order, response: ServerResponse): Promise<void> {
		const isRefused = this.#isOldFence(order.fence);
		this.#books.orders.push({
			kind: 'load', unit: order.unit, fence: order.fence, isRefused,
		});
		if (isRefused) {
			writeJson(response, 409, {});
			return;
		}

		const unit: LoadedUnit = {unit: order.unit, state: 'loading', memoryBytes: order.memoryBytes};
		this.#units.set(order.unit, unit);
		this.#books.peakMemoryBytes = Math.max(this.#books.peakMemoryBytes, this.#usedBytes);
		await this.#fetchWeights(order);
		if (this.#units.get(order.unit) === unit) {
			unit.state = 'ready';
			this.#cached.add(order.unit);
		}

		writeJson(response, 200, {});
	}

	async #fetchWeights(order: Order): Promise<void> {
		const gib = order.memoryBytes / BYTES_PER_GIB;
		if (this.#cached.has(order.unit) || this.#options.storePort === 0) {
			await wait(gib * this.#options.diskMsPerGib);
			return;
		}

		await new Promise<void>((resolve, reject) => {
			request({host: this.#options.host, port: this.#options.storePort, path: `/weights?gib=${gib}`}, answer => {
				answer.resume();
				answer.on('end', resolve);
			}).on('error', reject).end();
		});
	}

	#unload(order: Order, response: ServerResponse): void {
		const isRefused = this.#isOldFence(order.fence);
		this.#books.orders.push({
			kind: 'unload', unit: order.unit, fence: order.fence, isRefused,
		});
		if (!isRefused) {
			this.#units.delete(order.unit);
		}

		writeJson(response, isRefused ? 409 : 200, {});
	}

	async #complete(body: ChatBody, message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#units.get(body.model ?? '')?.state !== 'ready') {
			writeJson(response, 404, {error: {message: 'model is not loaded'}});
			return;
		}

		this.#books.ran.push(String(message.headers['x-attempt-id']));
		this.#books.inProgress += 1;
		this.#books.peakInProgress = Math.max(this.#books.peakInProgress, this.#books.inProgress);
		const prompt = body.messages?.at(-1)?.content ?? body.prompt ?? '';
		const words = Array.from({length: body.max_tokens ?? DEFAULT_TOKENS}, (_, index) => index === 0 ? `${prompt}|${body.model}` : ` t${index}`);
		try {
			await (body.stream ? this.#stream(words, response) : this.#answer(words, response));
		} finally {
			this.#books.inProgress -= 1;
		}
	}

	async #answer(words: readonly string[], response: ServerResponse): Promise<void> {
		await wait(this.#options.firstTokenMs + (words.length * this.#options.tokenMs));
		writeJson(response, 200, {object: 'chat.completion', choices: [{index: 0, message: {role: 'assistant', content: words.join('')}, finish_reason: 'stop'}]});
	}

	async #stream(words: readonly string[], response: ServerResponse): Promise<void> {
		response.writeHead(200, {'content-type': 'text/event-stream'});
		await wait(this.#options.firstTokenMs);
		for (const word of words) {
			if (response.destroyed) {
				return;
			}

			response.write(`data: ${JSON.stringify({choices: [{index: 0, delta: {content: word}}]})}\n\n`);
			await wait(this.#options.tokenMs);
		}

		response.end('data: [DONE]\n\n');
	}
}
