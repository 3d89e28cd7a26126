import {once} from 'node:events';
import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';

/** A TCP server that accepts one request and never answers it. */
export class SilentUpstream {
	readonly #server: Server;
	/** Resolves with the connection on which the first request arrives. */
	readonly #connection: Promise<Socket>;

	constructor() {
		this.#server = createServer();
		this.#connection = new Promise(resolve => {
			this.#server.on('connection', socket => {
				socket.once('data', () => {
					resolve(socket);
				});
			});
		});
	}

	/** Resolves once a request has arrived. */
	get request(): Promise<unknown> {
		return this.#connection;
	}

	/** Starts listening and resolves with the port. */
	async listen(): Promise<number> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return (this.#server.address() as AddressInfo).port;
	}

	/** Resolves when the other side ends the connection, with `closed`, `reset` or the code of another error. */
	async getConnectionEnd(): Promise<string> {
		const socket = await this.#connection;
		return new Promise(resolve => {
			socket.on('end', () => {
				resolve('closed');
			});
			socket.on('error', (error: NodeJS.ErrnoException) => {
				resolve(error.code === 'ECONNRESET' ? 'reset' : String(error.code));
			});
		});
	}

	close(): void {
		this.#server.close();
	}
}
