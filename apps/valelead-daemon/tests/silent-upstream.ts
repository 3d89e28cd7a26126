import {once} from 'node:events';
import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';

/** An upstream that takes one request and answers nothing. */
export class SilentUpstream {
	readonly #server: Server;
	/** Resolves with the connection on which the first request comes. */
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

	/** Resolves once a request has come. */
	get request(): Promise<unknown> {
		return this.#connection;
	}

	/** Listens and returns its port. */
	async listen(): Promise<number> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return (this.#server.address() as AddressInfo).port;
	}

	/** Resolves with how the other side ends the connection: `closed`, `reset`, or another error. */
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
