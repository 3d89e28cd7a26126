import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, TimerService} from '@valelead/common';
import {afterEventLoopIterations} from './after-event-loop-iterations.js';
import {LingeringConnections} from './lingering-connections.js';

type Connection = {
	/** Responses that this process has not completely handed to the operating system, in the order of their requests, with what waits for their turn. */
	readonly unfinished: Map<ServerResponse, (isTurn: boolean) => void>;
	/** Bytes received on the connection when its last response finished. */
	readBytes: number;
	/** Bytes received on the connection when it was last looked at by a stop, and since when there were no more, in monotonic milliseconds. */
	silence: {readonly bytes: number; readonly startedAt: number} | undefined;
	/** Number of requests that have been received. */
	requestCount: number;
	/** In monotonic milliseconds. */
	readonly acceptedAt: number;
};

type ConnectionsParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
};

/** The most requests of one connection that wait for their responses. Callers that send more read no answers, and each occupies some 10 KB. */
const MAX_UNFINISHED = 256;

/** The most connections that wait to be accepted: the default of the listening sockets of Node.js. They are accepted in the order in which they came. */
const MAX_WAITING = 511;

/** The time within which the first request on a new connection arrives, in milliseconds: its caller connected to send one. */
const FIRST_REQUEST_MS = 1000;

/**
 * Event-loop iterations after which the input of a connection has been read. Timers come before sockets in each iteration, so a timer that is late because the
 * process was stalled runs before the requests that have arrived meanwhile are read.
 */
const ITERATIONS_TO_READ = 2;

/**
 * Tracks the connections of callers and which of them are idle. Node's own `closeIdleConnections` treats a connection as idle as soon as `end` was
 * called on its response, and truncates responses to callers that read slowly.
 */
export class CallerConnections {
	readonly #connections = new Map<Socket, Connection>();
	/** Responses that close their connections unless another request arrives before they begin. */
	readonly #last = new WeakSet<ServerResponse>();
	/** Connections that are closed after one of their responses. */
	readonly #closing = new WeakSet<Socket>();
	#isStopping = false;
	#acceptedCount = 0;
	#lastAcceptedAt = Number.NEGATIVE_INFINITY;
	#idleClosedCount = 0;
	#unusedClosedCount = 0;
	readonly #clock: Clock;
	readonly #lingering: LingeringConnections;

	constructor({clock, timers}: ConnectionsParts) {
		this.#clock = clock;
		this.#lingering = new LingeringConnections(timers);
	}

	/** When the last connection was accepted, in monotonic milliseconds; minus infinity if there was none. */
	get lastAcceptedAt(): number {
		return this.#lastAcceptedAt;
	}

	/** Number of connections that were closed as idle, and of those among them that never carried a request. */
	get closedCounts(): {readonly idle: number; readonly unused: number} {
		return {idle: this.#idleClosedCount, unused: this.#unusedClosedCount};
	}

	/** Number of responses with data still buffered in this process. The data is lost if the process exits. */
	get unfinishedCount(): number {
		return [...this.#connections.values()].reduce((sum, connection) => sum + connection.unfinished.size, 0);
	}

	/** Number of requests that have been read completely and whose responses have not been written completely. */
	get inProgressCount(): number {
		return [...this.#connections.values()].reduce((sum, {unfinished}) => sum + [...unfinished.keys()].filter(({req, writableEnded}) => req.complete && !writableEnded).length, 0);
	}

	get size(): number {
		return this.#connections.size;
	}

	add(socket: Socket): void {
		const connection: Connection = {
			unfinished: new Map(), readBytes: 0, silence: undefined, requestCount: 0, acceptedAt: this.#clock.now(),
		};
		this.#lastAcceptedAt = connection.acceptedAt;
		this.#acceptedCount += 1;
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
			this.#dropResponses(connection);
		});
		// Node.js calls this after a response that closes its connection, and would close the socket although input may be unread.
		socket.destroySoon = () => {
			this.close(socket);
		};

		const reset = socket.resetAndDestroy.bind(socket);
		socket.resetAndDestroy = () => {
			this.#reset(socket, connection, reset);
			return socket;
		};
	}

	/** Closes a connection once its output has been sent. Requests whose responses wait for their turn are not answered. */
	close(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection) {
			this.#dropResponses(connection);
		}

		this.#lingering.close(socket);
	}

	/** Reads no further requests on a connection. */
	discardInput(socket: Socket): void {
		this.#lingering.discardInput(socket);
	}

	/** Resets the connections of aborted responses at once, before the process ends. */
	resetAborted(): void {
		this.#lingering.resetNow();
	}

	/**
	 * Resolves once the connections that wait now have been accepted, or at a time limit. Node.js accepts one in each iteration of the event loop.
	 * @param getEndsAt - Returns the time limit, in monotonic milliseconds.
	 */
	async acceptWaiting(getEndsAt: () => number): Promise<void> {
		const lastCount = this.#acceptedCount + MAX_WAITING;
		let acceptedCount: number;
		do {
			acceptedCount = this.#acceptedCount;
			await new Promise<void>(resolve => {
				afterEventLoopIterations(ITERATIONS_TO_READ, resolve);
			});
		} while (this.#acceptedCount > acceptedCount && this.#acceptedCount < lastCount && this.#clock.now() < getEndsAt());
	}

	/**
	 * Registers the response to a request that has arrived, unless its connection takes no further ones. Resolves with true once it is the first unfinished
	 * response of its connection, and with false if the connection ends before: with a response that fails or closes it, those behind it are lost.
	 */
	async addResponse(response: ServerResponse): Promise<boolean> {
		const {socket} = response.req;
		const connection = this.#connections.get(socket);
		if (!connection) {
			socket.destroy();
			return false;
		}

		if (connection.unfinished.size === MAX_UNFINISHED || this.#closing.has(socket)) {
			this.#endInput(socket, connection);
			return false;
		}

		connection.requestCount += 1;
		if (this.#isStopping) {
			this.#markLast(response, [...connection.unfinished.keys()].at(-1));
		}

		return new Promise(resolve => {
			connection.unfinished.set(response, resolve);
			if (connection.unfinished.size === 1) {
				resolve(true);
			}

			response.once('close', () => {
				connection.unfinished.delete(response);
				connection.readBytes = socket.bytesRead;
				const [next] = connection.unfinished;
				// A connection that is about to be closed has taken up no further response.
				next?.[1](next[0].socket !== null);
			});
		});
	}

	/** Closes the connection of a response after it. Requests that follow on the connection are not answered. */
	closeAfter(response: ServerResponse): void {
		const {socket} = response.req;
		if (this.#closing.has(socket)) {
			return;
		}

		this.#closing.add(socket);
		if (!response.headersSent) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.close(socket);
		});
	}

	/** Returns the responses of a connection that have not been sent completely, oldest first. */
	getUnfinished(socket: Socket): ServerResponse[] {
		return [...this.#connections.get(socket)?.unfinished.keys() ?? []];
	}

	/** True if a response was registered and has not been sent completely. */
	has(response: ServerResponse): boolean {
		return this.#connections.get(response.req.socket)?.unfinished.has(response) === true;
	}

	/** True if no request has arrived on a response's connection since its own. */
	isLatest(response: ServerResponse): boolean {
		return this.getUnfinished(response.req.socket).at(-1) === response;
	}

	/** Calls back once what has arrived on a connection is read, unless a whole request head was among it. */
	onceRequestMissing(socket: Socket, callback: () => void): void {
		const getCount = (): number | undefined => this.#connections.get(socket)?.requestCount;
		const before = getCount();
		afterEventLoopIterations(ITERATIONS_TO_READ, () => {
			if (getCount() === before) {
				callback();
			}
		});
	}

	/** Sets `connection: close` on the last response of each connection if its headers have not been sent, now and in the future. */
	closeAfterResponses(): void {
		this.#isStopping = true;
		for (const {unfinished} of this.#connections.values()) {
			const last = [...unfinished.keys()].at(-1);
			if (last) {
				this.#markLast(last);
			}
		}
	}

	/**
	 * Closes connections that have no unfinished response and no partially received request, once what has arrived on them is read. Other input after the last
	 * response, such as the rest of a refused body, is no request if nothing follows it within the time in which a request head must arrive.
	 * @param headMs - That time, in milliseconds.
	 */
	closeIdle(headMs: number): void {
		const now = this.#clock.now();
		const newestAt = now - FIRST_REQUEST_MS;
		const idle = [...this.#connections].filter(([socket, connection]) => {
			const isIdle = this.#isIdle(socket, connection) || this.#isSilent(socket, connection, now - headMs);
			return isIdle && (socket.bytesRead > 0 || connection.acceptedAt < newestAt);
		});
		if (idle.length === 0) {
			return;
		}

		afterEventLoopIterations(ITERATIONS_TO_READ, () => {
			for (const [socket, connection] of idle) {
				const isIdle = this.#isIdle(socket, connection) || this.#isSilent(socket, connection, now - headMs);
				if (this.#connections.has(socket) && isIdle) {
					this.#closeIdle(socket, connection);
				}
			}
		});
	}

	/** Closes a connection whose idle time has passed, unless something has arrived on it meanwhile that has not been read yet. */
	closeSilent(socket: Socket): void {
		const {bytesRead} = socket;
		afterEventLoopIterations(ITERATIONS_TO_READ, () => {
			const connection = this.#connections.get(socket);
			if (connection && socket.bytesRead === bytesRead && this.#isOpen(socket, connection)) {
				this.#closeIdle(socket, connection);
			}
		});
	}

	/** Resets a connection: later if responses were sent on it that its caller may not have received. */
	#reset(socket: Socket, connection: Connection, reset: () => void): void {
		this.#dropResponses(connection);
		if (connection.readBytes === 0) {
			reset();
		} else {
			this.#lingering.closeWithReset(socket, reset);
		}
	}

	#closeIdle(socket: Socket, {readBytes}: Connection): void {
		this.#idleClosedCount += 1;
		this.#unusedClosedCount += readBytes === 0 ? 1 : 0;
		this.close(socket);
	}

	/** Closes a connection after a response, and not after the one before it, which would take this one along. */
	#markLast(response: ServerResponse, previous?: ServerResponse): void {
		if (previous && !previous.headersSent && this.#last.delete(previous)) {
			previous.removeHeader('connection');
		}

		if (!response.headersSent) {
			this.#last.add(response);
			response.setHeader('connection', 'close');
		}
	}

	#isIdle(socket: Socket, connection: Connection): boolean {
		return this.#isOpen(socket, connection) && socket.bytesRead === connection.readBytes;
	}

	/** True if a connection has no unfinished response, and nothing has arrived on it since a time in monotonic milliseconds. */
	#isSilent(socket: Socket, connection: Connection, since: number): boolean {
		if (!this.#isOpen(socket, connection)) {
			connection.silence = undefined;
			return false;
		}

		if (connection.silence?.bytes !== socket.bytesRead) {
			connection.silence = {bytes: socket.bytesRead, startedAt: this.#clock.now()};
		}

		return connection.silence.startedAt < since;
	}

	/** True if a connection has no unfinished response and is not closing. */
	#isOpen(socket: Socket, {unfinished}: Connection): boolean {
		return unfinished.size === 0 && !socket.writableEnded && !this.#lingering.has(socket);
	}

	/** Takes no further requests on a connection, and closes it once those that were taken are answered. */
	#endInput(socket: Socket, {unfinished}: Connection): void {
		if (this.#closing.has(socket)) {
			return;
		}

		this.closeAfter([...unfinished.keys()].at(-1)!);
		// The parser, which may be at work now, is detached afterwards.
		afterEventLoopIterations(1, () => {
			if (!socket.destroyed) {
				this.#lingering.discardInput(socket);
			}
		});
	}

	/** Node.js does not close responses that wait for an earlier one on their connection. */
	#dropResponses({unfinished}: Connection): void {
		for (const takeTurn of unfinished.values()) {
			takeTurn(false);
		}

		unfinished.clear();
	}
}
