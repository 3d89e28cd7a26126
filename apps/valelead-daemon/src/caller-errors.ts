import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerConnections} from './caller-connections.js';

/** The error of a head that is not complete in time. Node.js raises it in a timer, which runs before what arrived during a stall is read. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Statuses of Node's own responses to input that it could not read as a request; 400 for any other error. */
const STATUSES: Readonly<Record<string, number>> = {[HEAD_TIMEOUT]: 408, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, HPE_HEADER_OVERFLOW: 431};

const BAD_REQUEST = 400;

/**
 * Handles input on callers' connections that is no complete request. Node's own handling answers 408 or 400 at once, also while a request that was read before
 * on the connection is running: its caller takes that status for the answer, and 408 promises that the request was not run.
 */
export class CallerErrors {
	readonly #connections: CallerConnections;
	readonly #getIdleMs: () => number;

	/** @param getIdleMs - Returns for how long a connection may be idle, in milliseconds. */
	constructor(connections: CallerConnections, getIdleMs: () => number) {
		this.#connections = connections;
		this.#getIdleMs = getIdleMs;
	}

	/** Closes a connection on which an error occurred, once the requests that were read before it are answered. */
	handle(error: NodeJS.ErrnoException, socket: Socket): void {
		if (error.code === HEAD_TIMEOUT) {
			this.#connections.onceRequestMissing(socket, () => {
				if (socket.bytesRead === 0) {
					// No head has begun: the connection is idle.
					socket.setTimeout(this.#getIdleMs());
				} else if (socket.writable) {
					// Other input may have ended the connection meanwhile.
					this.#end(error, socket);
				}
			});
		} else {
			this.#end(error, socket);
		}
	}

	#end(error: NodeJS.ErrnoException, socket: Socket): void {
		const last = this.#connections.getUnfinished(socket).findLast(({req}) => req.complete);
		if (last && socket.writable) {
			this.#connections.closeAfter(last);
			return;
		}

		if (socket.writable) {
			const status = STATUSES[error.code ?? ''] ?? BAD_REQUEST;
			socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			this.#connections.close(socket);
			return;
		}

		socket.destroy(error);
	}
}
