import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {SYSTEM_CLOCK, type TimerService} from '@valelead/common';
import type {CallerLimits} from '@valelead/routing';
import {CallerConnections} from '../caller-connections.js';
import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';
import {HEAD_CHECK_INTERVAL_MS} from '../head-check-interval-ms.js';
import {stopListening} from '../stop-listening.js';
import {trackConnections} from '../track-connections.js';
import type {RequestHandler} from './request-handler.js';

/** The largest request head (request line and headers) that a configuration can allow, in bytes. */
const MAX_HEADER_BYTES = 65_536;

type ServerParts = {
	/** IP address and port. */
	readonly address: string;
	readonly handler: RequestHandler;
	readonly timers: TimerService;
};

/** The HTTP server that receives the requests of callers. */
export class RequestServer {
	readonly #address: string;
	readonly #server: Server;
	readonly #connections: CallerConnections;

	constructor({address, handler, timers}: ServerParts) {
		this.#address = address;
		this.#connections = new CallerConnections({clock: SYSTEM_CLOCK, timers});
		this.#server = createServer({
			maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS, noDelay: true,
		}, (message, response) => {
			const turn = this.#connections.addResponse(response);
			if (this.#connections.has(response)) {
				void handler.handle(message, response, {turn, isLatest: () => this.#connections.isLatest(response)});
			}
		});
		trackConnections(this.#server, this.#connections);
	}

	/** Number of open connections, with those that wait for their callers to close. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Number of responses that have not been completely sent to their callers. */
	get unfinishedCount(): number {
		return this.#connections.unfinishedCount;
	}

	/** When the last connection was accepted, in monotonic milliseconds; minus infinity if there was none. */
	get lastAcceptedAt(): number {
		return this.#connections.lastAcceptedAt;
	}

	/** Number of connections that were closed as idle, and of those among them that never carried a request. */
	get closedCounts(): {readonly idle: number; readonly unused: number} {
		return this.#connections.closedCounts;
	}

	async listen(): Promise<void> {
		this.#server.listen(getPort(this.#address), getHost(this.#address));
		await once(this.#server, 'listening');
	}

	/** Applies the connection timeouts of a routing configuration to existing and new connections. */
	setLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.#server.headersTimeout = headerTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs;
	}

	/** Closes idle connections. Connections with a request in progress are closed after its response. */
	closeIdle(): void {
		this.#connections.closeIdle(this.#server.headersTimeout);
	}

	/**
	 * Resolves once the connections that wait now have been accepted.
	 * @param endsAt - When it resolves at the latest, in monotonic milliseconds.
	 */
	async acceptWaiting(endsAt: number): Promise<void> {
		await this.#connections.acceptWaiting(() => endsAt);
	}

	/** Resets the connections of aborted responses at once, before the process ends. */
	resetAborted(): void {
		this.#connections.resetAborted();
	}

	/** Stops accepting new connections. */
	close(): void {
		stopListening(this.#server);
	}
}
