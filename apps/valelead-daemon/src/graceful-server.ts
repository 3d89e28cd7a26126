import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {SYSTEM_CLOCK, type TimerService} from '@valelead/common';
import {CallerConnections} from './caller-connections.js';
import {getHost} from './get-host.js';
import {getPort} from './get-port.js';
import {HEAD_CHECK_INTERVAL_MS} from './head-check-interval-ms.js';
import {stopListening} from './stop-listening.js';
import {trackConnections} from './track-connections.js';

type ServerParts = {
	/** IP address and port. */
	readonly address: string;
	readonly timers: TimerService;
	/**
	 * Handles a request.
	 * @param turn - Resolves with true once all earlier requests of the connection are answered, and with false if the connection ends before.
	 */
	readonly onRequest: (message: IncomingMessage, response: ServerResponse, turn: Promise<boolean>) => void;
};

/** Interval at which a stopping server closes the connections that have become idle, in milliseconds. */
const IDLE_POLL_MS = 20;

/** An HTTP server that answers the requests it has read before it stops. */
export class GracefulServer {
	readonly #address: string;
	readonly #timers: TimerService;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	/** When a stop ends, answered or not, in monotonic milliseconds. */
	#endsAt = Number.POSITIVE_INFINITY;

	constructor({address, timers, onRequest}: ServerParts) {
		this.#address = address;
		this.#timers = timers;
		this.#connections = new CallerConnections({clock: SYSTEM_CLOCK, timers});
		this.#server = createServer({connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS}, (message, response) => {
			const turn = this.#connections.addResponse(response);
			if (this.#connections.has(response)) {
				onRequest(message, response, turn);
			}
		});
		trackConnections(this.#server, this.#connections);
	}

	async listen(): Promise<void> {
		this.#server.listen(getPort(this.#address), getHost(this.#address));
		await once(this.#server, 'listening');
	}

	/** Closes connections after their next responses, so that callers turn to another server while this one still accepts requests. */
	closeAfterResponses(): void {
		this.#connections.closeAfterResponses();
	}

	/**
	 * Stops accepting connections, after those that wait. Resolves once no request that has been read is in progress.
	 * @param endsAt - When the stop ends at the latest, in monotonic milliseconds.
	 */
	async stop(endsAt: number): Promise<void> {
		this.#endsAt = Math.min(this.#endsAt, endsAt);
		this.closeAfterResponses();
		await this.#connections.acceptWaiting(() => this.#endsAt);
		stopListening(this.#server);
		await this.#closeIdleWhile(() => this.#connections.inProgressCount > 0);
	}

	/** Resolves once all connections of a server that stops are closed: callers may not have received the whole of their responses before. */
	async waitUntilClosed(): Promise<void> {
		await this.#closeIdleWhile(() => this.#connections.size > 0);
	}

	/** Ends a stop without waiting any longer. */
	stopNow(): void {
		this.#endsAt = SYSTEM_CLOCK.now();
	}

	async #closeIdleWhile(isBusy: () => boolean): Promise<void> {
		this.#connections.closeIdle(this.#server.headersTimeout);
		while (isBusy() && SYSTEM_CLOCK.now() < this.#endsAt) {
			await this.#timers.wait(IDLE_POLL_MS);
			this.#connections.closeIdle(this.#server.headersTimeout);
		}
	}
}
