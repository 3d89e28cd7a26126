import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	type TimerService, OUTCOME, RESULT_CODE, RESULT_DETAILS, SYSTEM_CLOCK,
} from '@valelead/common';
import {CallerConnections} from '../caller-connections.js';
import {HEAD_CHECK_INTERVAL_MS} from '../head-check-interval-ms.js';
import {stopListening} from '../stop-listening.js';
import {trackConnections} from '../track-connections.js';
import type {EntrySettings} from '../settings/entry-settings.js';
import {writeRefusal} from './write-refusal.js';
import type {HttpHandler} from './http-handler.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;

/** Number of connections beyond the limit whose requests are refused with an error response. Connections beyond those are dropped. */
const REFUSED_CONNECTIONS = 64;

/** The Retry-After time of requests on connections beyond the limit, in milliseconds. */
const RETRY_AFTER_MS = 1000;

type ServerParts = {
	readonly handler: HttpHandler;
	readonly settings: EntrySettings;
	readonly timers: TimerService;
	/** Returns the reason why the process accepts no requests, or undefined if it accepts them. */
	readonly getUnreadyReason: () => string | undefined;
};

/** The HTTP server for callers and for the readiness checks of the platform's load balancer. */
export class CallerServer {
	readonly #handler: HttpHandler;
	readonly #settings: EntrySettings;
	readonly #getUnreadyReason: () => string | undefined;
	readonly #server: Server;
	readonly #connections: CallerConnections;

	constructor({handler, settings, timers, getUnreadyReason}: ServerParts) {
		this.#handler = handler;
		this.#settings = settings;
		this.#getUnreadyReason = getUnreadyReason;
		this.#connections = new CallerConnections({clock: SYSTEM_CLOCK, timers});
		this.#server = createServer({
			maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
		}, (message, response) => {
			const turn = this.#connections.addResponse(response);
			if (this.#connections.has(response)) {
				this.#handle(message, response, turn);
			}
		});
		this.#server.maxConnections = settings.maxConnections + REFUSED_CONNECTIONS;
		trackConnections(this.#server, this.#connections);
		this.#server.on('connection', socket => {
			socket.setNoDelay(true);
		});
	}

	/** Number of open connections, with those that wait for their callers to close. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	async listen(): Promise<void> {
		this.#server.listen(this.#settings.http.port, this.#settings.http.host);
		await once(this.#server, 'listening');
	}

	/** Closes connections after their last responses. */
	closeAfterResponses(): void {
		this.#connections.closeAfterResponses();
	}

	/**
	 * Stops accepting connections, after those that wait, and closes idle ones. Busy connections close after their response.
	 * @param getEndsAt - Returns the time at which no further connections are accepted at the latest, in monotonic milliseconds.
	 */
	async close(getEndsAt: () => number): Promise<void> {
		await this.#connections.acceptWaiting(getEndsAt);
		stopListening(this.#server);
		this.#connections.closeIdle(this.#server.headersTimeout);
	}

	/** Resets the connections of aborted responses at once, before the process ends. */
	resetAborted(): void {
		this.#connections.resetAborted();
	}

	/** Closes connections that have become idle. */
	closeIdle(): void {
		this.#connections.closeIdle(this.#server.headersTimeout);
	}

	#handle(message: IncomingMessage, response: ServerResponse, turn: Promise<boolean>): void {
		if (message.url === '/healthz' || message.url === '/readyz') {
			const reason = message.url === '/readyz' ? this.#getUnreadyReason() : undefined;
			response.writeHead(reason === undefined ? 200 : 503, {'content-type': 'text/plain'});
			response.end(`${reason ?? 'ok'}\n`);
			return;
		}

		if (this.#connections.size > this.#settings.maxConnections) {
			response.setHeader('connection', 'close');
			writeRefusal(response, {
				code: RESULT_CODE.TooManyConnections, message: RESULT_DETAILS[RESULT_CODE.TooManyConnections].meaning, outcome: OUTCOME.NotRun, retryAfterMs: RETRY_AFTER_MS,
			}, '');
			return;
		}

		void this.#handler.handle(message, response, turn);
	}
}
