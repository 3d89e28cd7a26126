import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {writeJson} from './write-json.js';
import type {StoreOptions} from './store-options.js';

/** A stand-in for the weight store: a few loads run at full speed, more share the same speed. */
export class FakeWeightStore {
	readonly #options: StoreOptions;
	#running = 0;
	#loads = 0;
	#peakRunning = 0;
	#slowdown = 1;

	constructor(options: StoreOptions) {
		this.#options = options;
	}

	listen(): Server {
		return createServer((message, response) => {
			const url = new URL(message.url ?? '/', 'http://store');
			if (url.pathname === '/books') {
				writeJson(response, 200, {loads: this.#loads, peakRunning: this.#peakRunning});
				return;
			}

			if (url.pathname === '/slow') {
				this.#slowdown = Number(url.searchParams.get('factor'));
				writeJson(response, 200, {});
				return;
			}

			void this.#load(Number(url.searchParams.get('gib')), response);
		}).listen(this.#options.port, this.#options.host);
	}

	async #load(gib: number, response: ServerResponse): Promise<void> {
		this.#running += 1;
		this.#loads += 1;
		this.#peakRunning = Math.max(this.#peakRunning, this.#running);
		const crowd = Math.max(1, this.#running / this.#options.concurrent);
		await wait(gib * this.#options.msPerGib * crowd * this.#slowdown);
		this.#running -= 1;
		response.end();
	}
}
