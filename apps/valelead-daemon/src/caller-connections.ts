import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Connection = {
	/** Answers that the system has not taken whole from this process. */
	unfinished: number;
	/** Bytes that had come when the last answer was finished. */
	readBytes: number;
};

/**
 * The connections of callers, and which of them are idle. Node's own `closeIdleConnections` takes one for idle as soon as its answer is ended, and
 * cuts off what a caller that reads slowly has not got yet.
 */
export class CallerConnections {
	readonly #connections = new Map<Socket, Connection>();
	readonly #unfinished = new Set<ServerResponse>();
	#isEnding = false;

	/** Answers that callers have not taken; what the process still holds of them is lost if it ends. */
	get unfinishedCount(): number {
		return [...this.#connections.values()].reduce((sum, connection) => sum + connection.unfinished, 0);
	}

	get size(): number {
		return this.#connections.size;
	}

	add(socket: Socket): void {
		this.#connections.set(socket, {unfinished: 0, readBytes: 0});
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
	}

	/** Takes that a request has come; its answer is `response`. */
	note(response: ServerResponse): void {
		const {socket} = response;
		const connection = socket ? this.#connections.get(socket) : undefined;
		if (!connection) {
			return;
		}

		connection.unfinished += 1;
		this.#unfinished.add(response);
		if (this.#isEnding) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.#unfinished.delete(response);
			connection.unfinished -= 1;
			connection.readBytes = socket!.bytesRead;
		});
	}

	/** From now on an answer that has not begun is the last one on its connection, and tells its caller so. */
	endAfterAnswers(): void {
		this.#isEnding = true;
		for (const response of this.#unfinished) {
			if (!response.headersSent) {
				response.setHeader('connection', 'close');
			}
		}
	}

	/** Ends the connections on which nothing is in progress, a request that has come in part included. */
	closeIdle(): void {
		for (const [socket, {unfinished, readBytes}] of this.#connections) {
			if (unfinished === 0 && socket.bytesRead === readBytes) {
				socket.destroy();
			}
		}
	}
}
