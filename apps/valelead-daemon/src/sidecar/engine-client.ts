import {Agent, type IncomingMessage, request as newHttpRequest} from 'node:http';
import {type TimerService, abortRequestAfter, receiveResponse} from '@valelead/common';
import {ORDER_RESULT} from '@valelead/residency';
import type {EngineCodec} from '../adapter/engine-codec.js';
import type {HttpCall} from '../adapter/http-call.js';
import type {ConditionalOrder} from '../adapter/conditional-order.js';
import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';
import {readBody} from '../read-body.js';
import type {EnginePort} from './engine-port.js';
import type {OrderReply} from './order-reply.js';
import type {StatusReply} from './status-reply.js';

/** Timeout of a status request, in milliseconds; the engine is polled again later. The engine is on the same machine. */
const STATUS_TIMEOUT_MS = 1000;

/**
 * Timeout of an order, in milliseconds, after which it is sent again. Responses take some milliseconds. If both orders reach the engine,
 * it executes only the first that arrives, as that one changes the order sequence on which the other depends.
 */
const ORDER_TIMEOUT_MS = 150;

/**
 * The longest time of a call with its whole response, in milliseconds. The timeouts above are those of a silent connection, which a response that
 * arrives byte by byte never reaches.
 */
const MAX_CALL_MS = 2000;

/** The largest response, in bytes. A status with 1,400 models takes a tenth of it, and a gateway may read the statuses of many engines at once. */
const MAX_BODY_BYTES = 1024 * 1024;
const HTTP_OK = 200;

/** HTTP client for the interface of one engine. */
export class EngineClient implements EnginePort {
	readonly #address: string;
	readonly #codec: EngineCodec;
	readonly #timers: TimerService;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 2});

	constructor(address: string, codec: EngineCodec, timers: TimerService) {
		this.#address = address;
		this.#codec = codec;
		this.#timers = timers;
	}

	/** Fetches the engine's status; rejects if the engine does not respond. */
	async getStatus(): Promise<StatusReply> {
		const answer = await this.#call(this.#codec.newStatusCall(), STATUS_TIMEOUT_MS);
		const body = await readBody(answer, MAX_BODY_BYTES);
		if (answer.statusCode !== HTTP_OK) {
			throw new Error(`status ${answer.statusCode}`);
		}

		return {status: this.#codec.decodeStatus(body.toString('utf8')), instanceId: this.#codec.decodeInstanceId(answer.headers)};
	}

	/** Sends an order. If no response arrives, the result is `Unknown`: the engine may have accepted the order, or may still execute it later. */
	async order(terms: ConditionalOrder): Promise<OrderReply> {
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
		abortRequestAfter(request, this.#timers, MAX_CALL_MS);
		request.end(body === '' ? undefined : body);
		return response;
	}
}
