import {once} from 'node:events';
import {type IncomingMessage, type Server, createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** What an upstream decides about a request that has arrived. */
type Verdict = {
	readonly isRejected: boolean;
	/** Whether the previous answer of the connection is sent once more, before the request is answered. */
	readonly isPreviousRepeated: boolean;
};

/** Time for which a request runs, in milliseconds. A repeated answer arrives meanwhile. */
const RUN_MS = 5;

const newAnswer = (requestId: string, attempt: string, isRejected: boolean): string => {
	const head = isRejected ? 'HTTP/1.1 503 Full\r\nnot-run: 1\r\n' : 'HTTP/1.1 200 OK\r\n';
	return `${head}id: ${requestId}\r\ncontent-length: ${attempt.length}\r\n\r\n${attempt}`;
};

/** An upstream that can send an answer a second time, while the next request runs on the connection. */
export class TwofoldUpstream {
	/** The attempts that it ran, as named by the header `attempt`. */
	readonly runs: string[] = [];
	connectionCount = 0;
	readonly #server: Server;
	readonly #getVerdict: (requestId: string) => Verdict;
	readonly #previous = new WeakMap<Socket, string>();

	constructor(getVerdict: (requestId: string) => Verdict) {
		this.#getVerdict = getVerdict;
		this.#server = createServer(message => {
			message.resume();
			this.#answer(message);
		});
		this.#server.on('connection', () => {
			this.connectionCount += 1;
		});
	}

	/** Starts listening and resolves with the port. */
	async listen(): Promise<number> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return (this.#server.address() as AddressInfo).port;
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes answers to the socket itself, as Node.js would not write one twice. */
	#answer({headers, socket}: IncomingMessage): void {
		const requestId = String(headers.id);
		const attempt = String(headers.attempt);
		const {isRejected, isPreviousRepeated} = this.#getVerdict(requestId);
		const previous = this.#previous.get(socket);
		if (isPreviousRepeated && previous !== undefined) {
			socket.write(previous);
		}

		const answer = newAnswer(requestId, attempt, isRejected);
		this.#previous.set(socket, answer);
		if (isRejected) {
			socket.write(answer);
			return;
		}

		this.runs.push(attempt);
		setTimeout(() => {
			if (!socket.destroyed) {
				socket.write(answer);
			}
		}, RUN_MS);
	}
}
