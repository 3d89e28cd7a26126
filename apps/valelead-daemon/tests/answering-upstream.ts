import {once} from 'node:events';
import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';
import {resetConnection} from '@valelead/common';

/** What an upstream does once a request has arrived. */
export type UpstreamReply = {
	readonly bytes: string;
	/** What it does to the connection after the bytes; `stop reading` leaves the rest of the request unread. */
	readonly end: 'keep' | 'close' | 'reset' | 'stop reading';
};

/** The header line with the request id in the replies that a test gives; the id of the request takes its place. */
const ID_LINE = 'id: 1\r\n';

/** A TCP server that replies to each request as it is told, without looking at more of it than its id. */
export class AnsweringUpstream {
	readonly #server: Server;
	readonly #connections = new Set<Socket>();
	#getReply: () => UpstreamReply;

	constructor(getReply: () => UpstreamReply) {
		this.#getReply = getReply;
		this.#server = createServer(socket => {
			this.#connections.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#connections.delete(socket);
			});
			let idLine = ID_LINE;
			socket.on('data', data => {
				idLine = /^id: .*\r\n/m.exec(data.toString('latin1'))?.[0] ?? idLine;
				this.#reply(socket, idLine);
			});
		});
	}

	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Changes the replies to the requests that arrive from now on, and closes the connections that are not read any more. */
	setReply(getReply: () => UpstreamReply): void {
		this.#getReply = getReply;
		for (const socket of this.#connections) {
			if (socket.isPaused()) {
				socket.destroy();
			}
		}
	}

	/** Starts listening and resolves with the port. */
	async listen(): Promise<number> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return (this.#server.address() as AddressInfo).port;
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#connections) {
			socket.destroy();
		}
	}

	#reply(socket: Socket, idLine: string): void {
		const {bytes, end} = this.#getReply();
		if (socket.writable) {
			socket.write(bytes.replaceAll(ID_LINE, idLine));
		}

		switch (end) {
			case 'close': {
				socket.end();
				break;
			}

			case 'reset': {
				resetConnection(socket);
				break;
			}

			case 'stop reading': {
				socket.pause();
				break;
			}

			case 'keep': {
				break;
			}
		}
	}
}
