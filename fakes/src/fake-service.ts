import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {writeJson} from './write-json.js';
import type {ServiceOptions} from './service-options.js';

/** A stand-in for a plain service that takes reservation holds. Its books list every call that ran. */
export class FakeService {
	readonly #options: ServiceOptions;
	readonly #incarnation = randomUUID();
	readonly #ran: Array<{readonly requestId: string; readonly body: string}> = [];
	#isLeaving = false;

	constructor(options: ServiceOptions) {
		this.#options = options;
	}

	listen(): Server {
		return createServer((message, response) => {
			void this.#serve(message, response);
		}).listen(this.#options.port, this.#options.host);
	}

	async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (message.url === '/upstream/status') {
			writeJson(response, 200, this.#getStatus());
			return;
		}

		if (message.url === '/books') {
			writeJson(response, 200, {ran: this.#ran});
			return;
		}

		if (message.url === '/leave') {
			this.#isLeaving = true;
			writeJson(response, 200, {});
			return;
		}

		await this.#run(message, response);
	}

	async #run(message: IncomingMessage, response: ServerResponse): Promise<void> {
		let body = '';
		for await (const chunk of message) {
			body += String(chunk);
		}

		this.#ran.push({requestId: String(message.headers['x-request-id']), body});
		await wait(this.#options.workMs);
		writeJson(response, 200, {hold: this.#ran.length, path: message.url, echo: body});
	}

	#getStatus(): unknown {
		return {
			incarnation: this.#incarnation,
			memoryBytes: 0,
			units: [],
			cached: [],
			service: this.#options.service,
			capacity: this.#options.capacity,
			isLeaving: this.#isLeaving,
			abilities: {checksFence: false, resumesStreams: false, honoursPriorities: false},
		};
	}
}
