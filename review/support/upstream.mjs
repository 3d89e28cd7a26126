import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {callControl} from './call-control.mjs';

const HEAD_END = '\r\n\r\n';
const HEARTBEAT_MS = 1200;

/** Reads requests from the bytes of one connection. */
class RequestReader {
	#rest = Buffer.alloc(0);

	take(chunk) {
		this.#rest = Buffer.concat([this.#rest, chunk]);
		const requests = [];
		for (let request = this.#next(); request; request = this.#next()) {
			requests.push(request);
		}

		return requests;
	}

	#next() {
		const end = this.#rest.indexOf(HEAD_END);
		if (end === -1) {
			return undefined;
		}

		const [start, ...lines] = this.#rest.subarray(0, end).toString('latin1').split('\r\n');
		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		const bodyAt = end + HEAD_END.length;
		const bodyEnd = bodyAt + Number(headers['content-length'] ?? 0);
		if (this.#rest.length < bodyEnd) {
			return undefined;
		}

		const [method, url] = start.split(' ');
		const body = this.#rest.subarray(bodyAt, bodyEnd).toString();
		this.#rest = this.#rest.subarray(bodyEnd);
		return {
			method, url, headers, body,
		};
	}
}

/** The bytes of an answer with a length. */
const newAnswer = (status, headers, body = '') => {
	const lines = Object.entries({...headers, 'content-length': Buffer.byteLength(body)}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n${body}`;
};

/**
 * A stand-in for an upstream of a plain service, down to the bytes of its answers. It works on `slots` requests at once, queues a few more and rejects
 * the rest; it announces itself as the platform's upstreams do.
 */
export class Upstream {
	#options;
	#server;
	#beats;
	#sequence = 0;
	#heartbeatAddress;
	#active = 0;
	#queue = [];
	#arrivals = 0;
	#sockets = new Set();

	/**
	 * @param options - `id`, `host`, `port`, `service`, `slots`, `queue`, `workMs`, `controlAddresses` and `record`; each `shedEvery`th request is rejected,
	 * as when it is full; `onRejected` and `onRun` hear of a rejection and of the begin of a run, and `newStatus` may change the status of an answer.
	 */
	constructor(options) {
		this.#options = options;
		this.#server = createServer({noDelay: true}, socket => {
			this.#accept(socket);
		});
	}

	get address() {
		return `${this.#options.host}:${this.#options.port}`;
	}

	async start() {
		this.#server.listen(this.#options.port, this.#options.host);
		await once(this.#server, 'listening');
		this.#beats = setInterval(async () => {
			await this.#beat();
		}, HEARTBEAT_MS);
		await this.#beat();
	}

	stop() {
		clearInterval(this.#beats);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async #beat() {
		const {id, service, slots, controlAddresses} = this.#options;
		this.#sequence += 1;
		const body = JSON.stringify(Object.fromEntries([
			['service', service],
			['address', this.address],
			['zone', 'zone-a'],
			['version', 'v1'],
			['slots', slots],
			['state', 'ready'],
			['cold_remaining_ms', 0],
			['call_seq', this.#sequence],
		]));
		const addresses = this.#heartbeatAddress ? [this.#heartbeatAddress, ...controlAddresses] : controlAddresses;
		try {
			const answer = await callControl(addresses, {method: 'POST', path: `/-/instances/${id}/heartbeat`, body});
			this.#heartbeatAddress = JSON.parse(answer.text).heartbeat_addr;
		} catch {
			// The next one follows.
			this.#heartbeatAddress = undefined;
		}
	}

	#accept(socket) {
		const reader = new RequestReader();
		// One request at a time: the next one on a connection is read once the one before is answered.
		const connection = {
			socket, waiting: [], isBusy: false, surplus: undefined,
		};
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		socket.on('data', chunk => {
			connection.waiting.push(...reader.take(chunk));
			this.#takeNext(connection);
		});
	}

	#takeNext(connection) {
		while (!connection.isBusy && connection.waiting.length > 0 && !connection.socket.destroyed) {
			connection.isBusy = true;
			this.#take(connection, connection.waiting.shift());
		}
	}

	#answer(connection, bytes) {
		if (!connection.socket.destroyed) {
			connection.socket.write(bytes);
		}

		connection.isBusy = false;
		this.#takeNext(connection);
	}

	#take(connection, request) {
		const {id, slots, queue, shedEvery, onRejected} = this.#options;
		const requestId = request.headers['x-request-id'];
		const target = request.headers['x-target-instance'];
		if (target !== undefined && target !== id) {
			this.#answer(connection, newAnswer('421 Misdirected Request', {'x-request-id': requestId, 'x-instance-id': id, 'x-not-executed': '1'}));
			return;
		}

		this.#arrivals += 1;
		const isShed = shedEvery !== undefined && this.#arrivals % shedEvery === 0;
		if (isShed || (this.#active >= slots && this.#queue.length >= queue)) {
			const answer = newAnswer('503 Service Unavailable', {'x-request-id': requestId, 'x-not-executed': '1'});
			this.#options.record.note('rejected', {upstream: id, id: requestId});
			onRejected?.(connection, answer, requestId);
			this.#answer(connection, answer);
			return;
		}

		this.#queue.push({connection, request, requestId});
		this.#startNext();
	}

	#startNext() {
		const {id, slots, workMs, onRun, record} = this.#options;
		while (this.#active < slots && this.#queue.length > 0) {
			const {connection, request, requestId} = this.#queue.shift();
			if (connection.socket.destroyed) {
				continue;
			}

			this.#active += 1;
			record.note('run', {upstream: id, id: requestId, method: request.method});
			onRun?.(connection, request, requestId);
			setTimeout(() => {
				this.#active -= 1;
				this.#finish(connection, requestId);
				this.#startNext();
			}, workMs);
		}
	}

	#finish(connection, requestId) {
		const {id, newStatus} = this.#options;
		const status = newStatus?.(requestId) ?? '200 OK';
		this.#answer(connection, newAnswer(status, {'x-request-id': requestId, 'x-response-stamp': `${id}.${requestId}`}, `answer to ${requestId}`));
	}
}
