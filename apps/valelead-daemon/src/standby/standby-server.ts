import type {IncomingMessage, ServerResponse} from 'node:http';
import {RESULT_CODE, RESULT_DETAILS, type TimerService} from '@valelead/common';
import type {ControlCodec} from '../adapter/control-codec.js';
import type {ControlResponse} from '../controller/control-response.js';
import {newRedirect} from '../controller/new-redirect.js';
import {newRefusal} from '../controller/new-refusal.js';
import {writeResponse} from '../controller/write-response.js';
import {GracefulServer} from '../graceful-server.js';
import type {LeaderFinder} from './leader-finder.js';

type ServerParts = {
	readonly codec: Pick<ControlCodec, 'decodeCall'>;
	readonly finder: LeaderFinder;
	/** IP address and port of this server. */
	readonly address: string;
	readonly timers: TimerService;
};

/** The HTTP control interface of a diskless controller: redirects operators and upstreams to the leader. */
export class StandbyServer {
	readonly #parts: ServerParts;
	readonly #server: GracefulServer;

	constructor(parts: ServerParts) {
		this.#parts = parts;
		this.#server = new GracefulServer({
			address: parts.address,
			timers: parts.timers,
			onRequest: (message, response) => {
				// The body is discarded, as the caller sends it again to the leader.
				message.resume();
				void this.#respond(message, response);
			},
		});
	}

	async listen(): Promise<void> {
		await this.#server.listen();
	}

	/**
	 * Stops accepting calls. Resolves once none is in progress.
	 * @param endsAt - When the stop ends at the latest, in monotonic milliseconds.
	 */
	async stop(endsAt: number): Promise<void> {
		await this.#server.stop(endsAt);
	}

	/** Resolves once all connections of a server that stops are closed. */
	async waitUntilClosed(): Promise<void> {
		await this.#server.waitUntilClosed();
	}

	stopNow(): void {
		this.#server.stopNow();
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
