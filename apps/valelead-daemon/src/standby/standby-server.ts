import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {RESULT_CODE, RESULT_DETAILS} from '@valelead/common';
import type {ControlCodec} from '../adapter/control-codec.js';
import type {ControlResponse} from '../controller/control-response.js';
import {newRedirect} from '../controller/new-redirect.js';
import {newRefusal} from '../controller/new-refusal.js';
import {writeResponse} from '../controller/write-response.js';
import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';
import type {LeaderFinder} from './leader-finder.js';

type ServerParts = {
	readonly codec: Pick<ControlCodec, 'decodeCall'>;
	readonly finder: LeaderFinder;
	/** IP address and port of this server. */
	readonly address: string;
};

/** The HTTP control interface of a diskless controller: redirects operators and upstreams to the leader. */
export class StandbyServer {
	readonly #parts: ServerParts;
	readonly #server: Server;

	constructor(parts: ServerParts) {
		this.#parts = parts;
		this.#server = createServer((message, response) => {
			// The body is discarded, as the caller sends it again to the leader.
			message.resume();
			void this.#respond(message, response);
		});
	}

	async listen(): Promise<void> {
		const {address} = this.#parts;
		this.#server.listen(getPort(address), getHost(address));
		await once(this.#server, 'listening');
	}

	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	async #respond(message: IncomingMessage, response: ServerResponse): Promise<void> {
		writeResponse(response, await this.#getResponse(message.method ?? '', message.url ?? ''));
	}

	async #getResponse(method: string, url: string): Promise<ControlResponse> {
		const {codec, finder, address} = this.#parts;
		if (codec.decodeCall(method, url).kind === 'unknown') {
			return newRefusal(RESULT_CODE.UnknownPath, RESULT_DETAILS[RESULT_CODE.UnknownPath].meaning);
		}

		const leader = await finder.find();
		return leader === '' ? newRefusal(RESULT_CODE.NotLeader, 'No voter is known to lead') : newRedirect(leader, address, url);
	}
}
