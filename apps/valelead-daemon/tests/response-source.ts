import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, type Socket, createServer,
} from 'node:net';

/** How an upstream ends the connection after it has sent its bytes. */
type ConnectionEnd = 'keep' | 'close' | 'reset' | 'late close' | 'late reset';

type SourceResponse = {
	readonly bytes: Uint8Array | string;
	/** Bytes that are sent `LATE_MS` after the first ones, directly before the connection ends. */
	readonly laterBytes?: string;
	readonly end: ConnectionEnd;
};

/** Delay of a late end, in milliseconds, so that the receiver reads the bytes before the connection ends. */
const LATE_MS = 20;

/** A test upstream that answers each connection with the same bytes and then ends it in the same way. */
export class ResponseSource {
	readonly #server = createServer(socket => {
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			this.#respond(socket);
		});
	});

	readonly #sockets = new Set<Socket>();
	readonly #sent: SourceResponse;

	constructor(response: SourceResponse) {
		this.#sent = response;
	}

	async listen(): Promise<number> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return (this.#server.address() as AddressInfo).port;
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#respond(socket: Socket): void {
		const {bytes, laterBytes} = this.#sent;
		socket.write(Buffer.from(bytes));
		if (laterBytes === undefined) {
			this.#end(socket);
			return;
		}

		setTimeout(() => {
			socket.write(laterBytes);
			this.#end(socket);
		}, LATE_MS);
	}

	#end(socket: Socket): void {
		switch (this.#sent.end) {
			case 'keep': {
				break;
			}

			case 'close': {
				socket.end();
				break;
			}

			case 'reset': {
				socket.resetAndDestroy();
				break;
			}

			case 'late close': {
				setTimeout(() => {
					socket.end();
				}, LATE_MS);
				break;
			}

			default: {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, LATE_MS);
			}
		}
	}
}
