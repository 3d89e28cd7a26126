import {Buffer} from 'node:buffer';
import {Agent, type IncomingMessage, request as startRequest} from 'node:http';
import {ReceivedResponse} from '@valelead/answer';
import {
	OUTCOME, RESULT_CODE, ValeleadError, isFinalStatus, receiveResponse,
} from '@valelead/common';
import * as Schema from 'effect/Schema';
import type {OrderResult} from './order-result.js';
import type {Upstream} from './upstream.js';
import type {UpstreamResponse} from './upstream-response.js';
import type {UpstreamOrder} from './upstream-order.js';
import type {UpstreamRequest} from './upstream-request.js';
import type {UpstreamStatus} from './upstream-status.js';

const STATUS = Schema.Struct({
	incarnation: Schema.String,
	memoryBytes: Schema.Finite,
	units: Schema.Array(Schema.Struct({
		unit: Schema.String,
		state: Schema.Literals(['loading', 'ready']),
		memoryBytes: Schema.Finite,
	})),
	cached: Schema.Array(Schema.String),
	service: Schema.String,
	capacity: Schema.Finite,
	isLeaving: Schema.Boolean,
	abilities: Schema.Struct({
		checksFence: Schema.Boolean,
		resumesStreams: Schema.Boolean,
		honoursPriorities: Schema.Boolean,
	}),
});

const decodeStatus = Schema.decodeUnknownSync(STATUS);

const STATUS_TIMEOUT_MS = 2000;
const MAX_SOCKETS = 256;
const HTTP_CLIENT_ERROR = 400;
const HTTP_SERVER_ERROR = 500;

type Call = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: Buffer;
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};

type HttpResponse = {
	readonly message: IncomingMessage;
	readonly received: ReceivedResponse;
};

async function * readBody({message, received}: HttpResponse): AsyncGenerator<Buffer> {
	for await (const chunk of message) {
		received.addChunk(chunk as Buffer);
		yield chunk as Buffer;
	}

	const defect = received.getDefect();
	if (defect !== undefined) {
		throw new ValeleadError(`The upstream's answer is not whole: ${defect}`, {code: RESULT_CODE.AnswerCut, outcome: OUTCOME.Unknown});
	}
}

const readText = async (response: HttpResponse): Promise<string> => {
	const chunks: Buffer[] = [];
	for await (const chunk of readBody(response)) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};

const isConnectionRefused = (error: unknown): boolean => (error as {code?: string}).code === 'ECONNREFUSED';

/** Talks to an upstream over HTTP: queries its status, sends orders and forwards requests. */
export class HttpUpstream implements Upstream {
	readonly #host: string;
	readonly #port: number;
	readonly #orderTimeoutMs: number;
	readonly #sockets = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});

	constructor(host: string, port: number, orderTimeoutMs: number) {
		this.#host = host;
		this.#port = port;
		this.#orderTimeoutMs = orderTimeoutMs;
	}

	async getStatus(): Promise<UpstreamStatus> {
		const response = await this.#call({
			method: 'GET', path: '/upstream/status', headers: {}, timeoutMs: STATUS_TIMEOUT_MS,
		});
		return decodeStatus(JSON.parse(await readText(response)));
	}

	async load(order: UpstreamOrder): Promise<OrderResult> {
		return this.#order('/upstream/load', order);
	}

	async unload(order: UpstreamOrder): Promise<OrderResult> {
		return this.#order('/upstream/unload', order);
	}

	async send(request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
		try {
			const response = await this.#call({
				method: request.method,
				path: request.path,
				headers: {
					...(request.contentType === '' ? {} : {'content-type': request.contentType}),
					'x-request-id': request.requestId,
					'x-attempt-id': request.attemptId,
					'x-cache-salt': request.team,
					'x-priority': String(request.priority),
					'x-remaining-ms': String(Math.round(request.remainingMs)),
				},
				body: request.body,
				signal,
			});
			const {statusCode, headers} = response.message;
			if (!isFinalStatus(statusCode!)) {
				response.message.destroy();
				throw new Error(`status ${statusCode}`);
			}

			return {status: statusCode!, contentType: headers['content-type'] ?? '', body: readBody(response)};
		} catch (error) {
			const outcome = isConnectionRefused(error) ? OUTCOME.NotRun : OUTCOME.Unknown;
			const code = isConnectionRefused(error) ? RESULT_CODE.UpstreamRejected : RESULT_CODE.UpstreamFailed;
			throw new ValeleadError(`The upstream failed: ${(error as Error).message}`, {code, outcome});
		}
	}

	async #order(path: string, order: UpstreamOrder): Promise<OrderResult> {
		try {
			const response = await this.#call({
				method: 'POST',
				path,
				headers: {'content-type': 'application/json'},
				body: Buffer.from(JSON.stringify(order)),
				timeoutMs: this.#orderTimeoutMs,
			});
			await readText(response);
			const {statusCode} = response.message;
			if (statusCode! >= HTTP_SERVER_ERROR) {
				return 'unknown';
			}

			return statusCode! >= HTTP_CLIENT_ERROR ? 'refused' : 'done';
		} catch (error) {
			return isConnectionRefused(error) ? 'refused' : 'unknown';
		}
	}

	async #call(call: Call): Promise<HttpResponse> {
		call.signal?.throwIfAborted();
		const outgoing = startRequest({
			agent: this.#sockets,
			host: this.#host,
			port: this.#port,
			method: call.method,
			path: call.path,
			headers: {...call.headers, ...(call.body && {'content-length': call.body.length})},
			...(call.timeoutMs !== undefined && {timeout: call.timeoutMs}),
		});
		const response = receiveResponse(outgoing, call.signal);
		outgoing.end(call.body);
		const message = await response;
		return {message, received: new ReceivedResponse(message, call.method)};
	}
}
