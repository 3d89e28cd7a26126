import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {setTimeout as wait} from 'node:timers/promises';
import {callControl, callDaemon} from './call.mjs';
import {HEARTBEAT_MS} from './installation.mjs';

/** A call to a daemon counts as failed after this time, and the first pause before the next one, in milliseconds. */
const CALL_MS = 1000;
const FIRST_PAUSE_MS = 50;

/** An engine of a service without models. It serves requests, sends heartbeats and leaves as `PROTOCOL.md` says. */
export class Engine {
	/** Requests that it ran: id, path, time of arrival, and the address of the machine that sent them. */
	runs = [];
	/** Requests that it answered with 421. */
	misdirected = 0;
	/** Bytes of bodies that it has read. */
	readBytes = 0;
	/** True while it is partitioned from the daemons that serve `control`: its calls do not arrive. */
	isCutOff = false;
	#options;
	#server;
	#sequence = 0;
	#state = 'ready';
	#beats;
	#address;

	constructor(options) {
		this.#options = {workMs: 86, ...options};
		this.#address = `${options.host}:${options.port}`;
		this.#server = createServer((message, response) => {
			this.#serve(message, response);
		});
		this.#server.keepAliveTimeout = 30_000;
	}

	get id() {
		return this.#options.id;
	}

	get zone() {
		return this.#options.zone;
	}

	async start() {
		const {host, port} = this.#options;
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		this.#startBeats();
		await this.#beat();
	}

	/** Says that it drains, in a heartbeat that the next ones follow as usual; resolves with the time of the acknowledgement. */
	async drain() {
		clearInterval(this.#beats);
		this.#state = 'draining';
		this.#startBeats();
		const {status} = await callControl(this.#options.controlAddresses, this.#newBeatCall(this.#newBeat()));
		return {status, at: Date.now()};
	}

	/** Makes a heartbeat that is under way; the function that is returned lets it arrive. */
	newDelayedBeat() {
		const address = this.heartbeatAddress ?? this.#options.controlAddresses[0];
		const body = this.#newBeat();
		return async () => {
			try {
				return await callDaemon(address, this.#newBeatCall(body));
			} catch {
				return callControl(this.#options.controlAddresses, this.#newBeatCall(body));
			}
		};
	}

	/** Stops sending heartbeats and deregisters; resolves once that is acknowledged. */
	async deregister() {
		clearInterval(this.#beats);
		return callControl(this.#options.controlAddresses, {method: 'POST', path: `/-/instances/${this.id}/deregister`});
	}

	stop() {
		clearInterval(this.#beats);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#startBeats() {
		this.#beats = setInterval(() => {
			this.#beat();
		}, HEARTBEAT_MS);
	}

	#newBeat() {
		const {service, zone} = this.#options;
		this.#sequence += 1;
		return JSON.stringify(Object.fromEntries([
			['service', service],
			['address', this.#address],
			['zone', zone],
			['version', 'v1'],
			['slots', 6],
			['state', this.#state],
			['cold_remaining_ms', 0],
			['call_seq', this.#sequence],
		]));
	}

	#newBeatCall(body) {
		return {
			method: 'POST', path: `/-/instances/${this.id}/heartbeat`, headers: {'content-type': 'application/json'}, body,
		};
	}

	async #beat() {
		const {controlAddresses} = this.#options;
		const body = this.#newBeat();
		const endsAt = Date.now() + HEARTBEAT_MS;
		for (let attempt = 0; this.isCutOff; attempt += 1) {
			// A call that does not arrive is given up after a second, and the next daemon is called after a pause.
			await wait(CALL_MS + (FIRST_PAUSE_MS * (2 ** attempt)));
			if (Date.now() >= endsAt && this.isCutOff) {
				return;
			}
		}

		const addresses = this.heartbeatAddress ? [this.heartbeatAddress, ...controlAddresses] : controlAddresses;
		try {
			const {text} = await callControl(addresses, this.#newBeatCall(body), Math.max(endsAt, Date.now() + FIRST_PAUSE_MS));
			this.heartbeatAddress = JSON.parse(text).heartbeat_addr;
		} catch {
			this.heartbeatAddress = undefined;
		}
	}

	async #serve(message, response) {
		try {
			for await (const chunk of message) {
				this.readBytes += chunk.length;
			}
		} catch {
			// The connection broke within the body: the request is not run.
			return;
		}

		const requestId = message.headers['x-request-id'] ?? '';
		const target = message.headers['x-target-instance'];
		if (message.url === '/healthz') {
			response.writeHead(200, {'x-instance-id': this.id});
			response.end();
			return;
		}

		if (target !== undefined && target !== this.id) {
			this.misdirected += 1;
			response.writeHead(421, {'x-instance-id': this.id, 'x-request-id': requestId, 'x-not-executed': '1'});
			response.end();
			return;
		}

		this.handle(message, response, requestId);
	}

	/** Runs a request that is meant for this engine. */
	handle(message, response, requestId) {
		this.runs.push({requestId, path: message.url, at: Date.now()});
		const body = `${this.id} ran ${requestId}`;
		setTimeout(() => {
			response.writeHead(200, {
				'x-request-id': requestId, 'x-response-stamp': `stamp.${this.id}.${requestId}`, 'content-length': Buffer.byteLength(body),
			});
			response.end(body);
		}, this.#options.workMs);
	}
}
