import {Agent, type IncomingMessage, request as newHttpRequest} from 'node:http';
import {receiveResponse} from '@valelead/common';
import {ORDER_RESULT} from '@valelead/residency';
import type {EngineCodec} from '../adapter/engine-codec.js';
import type {HttpCall} from '../adapter/http-call.js';
import type {OrderTerms} from '../adapter/order-terms.js';
import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';
import {readBody} from '../read-body.js';
import type {EnginePort} from './engine-port.js';
import type {OrderReply} from './order-reply.js';
import type {StatusReply} from './status-reply.js';

/** An engine that does not tell its status within this time is asked again later, in milliseconds. It is on the same machine. */
const STATUS_TIMEOUT_MS = 1000;

/**
 * An order without an answer is given again after this time, in milliseconds. Answers take some milliseconds, and an order
 * that is carried out after all is void once the repeated one has moved the engine's order count.
 */
const ORDER_TIMEOUT_MS = 150;

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const HTTP_OK = 200;

/** Calls the engine on this machine. */
export class EngineClient implements EnginePort {
	readonly #address: string;
	readonly #codec: EngineCodec;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 2});

	constructor(address: string, codec: EngineCodec) {
		this.#address = address;
		this.#codec = codec;
	}

	/** The engine's state; rejects where it does not answer. */
	async getStatus(): Promise<StatusReply> {
		const answer = await this.#call(this.#codec.newStatusCall(), STATUS_TIMEOUT_MS);
		const body = await readBody(answer, MAX_BODY_BYTES);
		if (answer.statusCode !== HTTP_OK) {
			throw new Error(`status ${answer.statusCode}`);
		}

		return {status: this.#codec.decodeStatus(body.toString('utf8')), instanceId: this.#codec.decodeInstanceId(answer.headers)};
	}

	/** Gives an order. Without an answer its result is unknown: it may have been taken or be carried out later. */
	async order(terms: OrderTerms): Promise<OrderReply> {
		try {
			const answer = await this.#call(this.#codec.newOrderCall(terms), ORDER_TIMEOUT_MS);
			const body = await readBody(answer, MAX_BODY_BYTES);
			const result = this.#codec.decodeOrderResult(answer.statusCode ?? 0);
			return {result, instanceId: this.#codec.decodeInstanceId(answer.headers), reason: `status ${answer.statusCode} ${body.toString('utf8').slice(0, 200)}`};
		} catch (error) {
			return {result: ORDER_RESULT.Unknown, instanceId: '', reason: (error as Error).message};
		}
	}

	close(): void {
		this.#agent.destroy();
	}

	async #call({method, path, headers, body}: HttpCall, timeoutMs: number): Promise<IncomingMessage> {
		const request = newHttpRequest({
			host: getHost(this.#address), port: getPort(this.#address), method, path, headers, agent: this.#agent, timeout: timeoutMs,
		});
		const response = receiveResponse(request);
		request.end(body === '' ? undefined : body);
		return response;
	}
}
