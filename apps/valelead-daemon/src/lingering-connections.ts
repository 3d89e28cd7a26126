import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import process from 'node:process';
import type {TimerService} from '@valelead/common';

/** The longest time for which the input of a closing connection is discarded, in milliseconds. A caller that has read everything closes at once. */
const MAX_LINGER_MS = 5000;

/** The most input that is discarded on one connection, in bytes: four of the largest bodies. */
const MAX_DISCARDED_BYTES = 16_777_216;

/** The most connections that wait for their callers to close. The oldest one is closed for each one beyond. */
const MAX_CONNECTIONS = 512;

/**
 * Closes connections in order (RFC 9112, section 9.6): ends their output, then discards their input until their callers close too. The operating system resets
 * a connection that is closed with unread input, or that receives more afterwards, and a reset discards what the caller has not received.
 */
export class LingeringConnections {
	readonly #timers: TimerService;
	/** The connections that are closing, oldest first, with what ends each of them at once. */
	readonly #sockets = new Map<Socket, () => void>();
	/** Those among them that are reset, with what does so. */
	readonly #resets = new Map<Socket, () => void>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** True if a connection is closing. */
	has(socket: Socket): boolean {
		return this.#sockets.has(socket);
	}

	/** Closes a connection of an HTTP server once its output has been sent. Requests that arrive on it from now on are not read. */
	close(socket: Socket): void {
		if (this.#add(socket, () => socket.destroy())) {
			socket.end();
		}
	}

	/**
	 * Resets a connection of an HTTP server once its caller has had time to receive what was sent. Its output is not ended before, and requests that arrive on
	 * it from now on are not read.
	 * @param reset - Resets the connection at once.
	 */
	closeWithReset(socket: Socket, reset: () => void): void {
		if (this.#add(socket, reset)) {
			this.#resets.set(socket, reset);
			socket.once('close', () => {
				this.#resets.delete(socket);
			});
		}
	}

	/** Resets the connections that wait for it at once: they would be closed in order at the end of the process. */
	resetNow(): void {
		for (const reset of this.#resets.values()) {
			reset();
		}
	}

	/** Reads no further requests on a connection. Closes it once too much has arrived. */
	discardInput(socket: Socket): void {
		const before = socket.bytesRead;
		socket.resume();
		// Back-pressure may have stopped reading, and only the parser starts it again, in an earlier callback of this tick.
		process.nextTick(() => {
			// Detaches the parser of the HTTP server, which would take up further requests.
			socket.removeAllListeners('data');
			socket.on('data', (_chunk: Buffer) => {
				if (socket.bytesRead - before > MAX_DISCARDED_BYTES) {
					const closeNow = this.#sockets.get(socket) ?? (() => socket.destroy());
					closeNow();
				}
			});
		});
	}

	/**
	 * Discards the input of a connection until it is closed. Returns false if it is closing already.
	 * @param closeNow - Called if the caller has not closed the connection in time.
	 */
	#add(socket: Socket, closeNow: () => void): boolean {
		if (socket.destroyed || this.#sockets.has(socket)) {
			return false;
		}

		if (this.#sockets.size >= MAX_CONNECTIONS) {
			const [[oldest, closeOldest]] = this.#sockets;
			// Its `close` event comes later than further connections that are closed in this iteration.
			this.#sockets.delete(oldest);
			closeOldest();
		}

		const limit = this.#timers.after(MAX_LINGER_MS, closeNow);
		this.#sockets.set(socket, closeNow);
		socket.once('close', () => {
			limit.cancel();
			this.#sockets.delete(socket);
		});
		this.discardInput(socket);
		// At the end of the input, the HTTP server would end the output, or destroy the connection if it were within a request.
		socket.removeAllListeners('end');
		return true;
	}
}
