import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Connection = {
	/** Number of responses that this process has not completely handed to the operating system. */
	unfinished: number;
	/** Bytes received on the connection when its last response finished. */
	readBytes: number;
};

/**
 * Tracks the connections of callers and which of them are idle. Node's own `closeIdleConnections` treats a connection as idle as soon as `end` was
 * called on its response, and truncates responses to callers that read slowly.
 */
export class CallerConnections {
	readonly #connections = new Map<Socket, Connection>();
	readonly #unfinished = new Set<ServerResponse>();
	#isClosing = false;

	/** Number of responses with data still buffered in this process. The data is lost if the process exits. */
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

	/** Registers the response to a request that has arrived. */
	addResponse(response: ServerResponse): void {
		const {socket} = response;
		const connection = socket ? this.#connections.get(socket) : undefined;
		if (!connection) {
			return;
		}

		connection.unfinished += 1;
		this.#unfinished.add(response);
		if (this.#isClosing) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.#unfinished.delete(response);
			connection.unfinished -= 1;
			connection.readBytes = socket!.bytesRead;
		});
	}

	/** Sets `connection: close` on all responses whose headers have not been sent, now and in the future. */
	closeAfterResponses(): void {
		this.#isClosing = true;
		for (const response of this.#unfinished) {
			if (!response.headersSent) {
				response.setHeader('connection', 'close');
			}
		}
	}

	/** Closes connections that have no unfinished response and no partially received request. */
	closeIdle(): void {
		for (const [socket, {unfinished, readBytes}] of this.#connections) {
			if (unfinished === 0 && socket.bytesRead === readBytes) {
				socket.destroy();
			}
		}
	}
}
