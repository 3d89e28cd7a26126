import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	type Clock, OUTCOME, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, type TimerService, ValeleadError,
} from '@valelead/common';
import type {Team} from '@valelead/intent';
import type {ClaimReply} from '@valelead/protocol';
import type {Logger} from 'pino';
import {readBody} from '../read-body.js';
import {routeRequest} from './route-request.js';
import {StreamSink} from './stream-sink.js';
import {BufferedSink} from './buffered-sink.js';
import {newModelList} from './new-model-list.js';
import {writeRefusal} from './write-refusal.js';
import {writeCompleteResponse} from './write-complete-response.js';
import type {ResponseSink} from './response-sink.js';
import type {ClaimClient} from './claim-client.js';
import type {Dispatcher} from './dispatcher.js';
import type {IntentFollower} from './intent-follower.js';
import type {KeyIndex} from './key-index.js';
import type {Refusal} from './refusal.js';
import type {RoutedRequest} from './routed-request.js';
import type {CompleteResponse} from './complete-response.js';

type HandlerParts = {
	readonly follower: IntentFollower;
	readonly keys: KeyIndex;
	readonly dispatcher: Dispatcher;
	readonly claims: ClaimClient;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly maxBodyBytes: number;
	readonly streamStallMs: number;
	/** Returns the result code with which new requests are refused, or undefined if they are accepted. */
	readonly getRefusalCode: () => ResultCodeValue | undefined;
};

/** The time after the deadline of its class at which an unsettled claim is overdue, in milliseconds. */
const CLAIM_GRACE_MS = 10_000;

/** The Retry-After time of a repeated request whose first copy is still in progress, in milliseconds. */
const IN_PROGRESS_RETRY_AFTER_MS = 1000;

/** The Retry-After time of requests whose claim the quorum did not commit, in milliseconds. */
const NO_QUORUM_RETRY_AFTER_MS = 2000;

/** The longest time that a complete response is held back until the quorum has stored it, in milliseconds. */
const SETTLE_TIMEOUT_MS = 1000;

const toRefusal = (error: unknown): Refusal => {
	const known = error instanceof ValeleadError ? error : undefined;
	const code = known?.code ?? RESULT_CODE.Internal;
	return {
		code, message: known?.message ?? RESULT_DETAILS[code].meaning, outcome: known?.outcome ?? OUTCOME.NotRun, retryAfterMs: known?.retryAfterMs ?? 0,
	};
};

/** Handles HTTP requests of callers: authenticates and routes them, claims requests that must not run twice and passes requests to the dispatcher. */
export class HttpHandler {
	readonly #parts: HandlerParts;

	constructor(parts: HandlerParts) {
		this.#parts = parts;
	}

	/**
	 * Handles a request. Requests of one connection are dispatched one after the other: a response that fails or closes the connection would take the responses
	 * behind it along, although their requests have run.
	 * @param turn - Resolves with true once all earlier requests of the connection are answered, and with false if the connection ends before.
	 */
	async handle(message: IncomingMessage, response: ServerResponse, turn: Promise<boolean>): Promise<void> {
		const requestId = randomUUID();
		try {
			await this.#handle(message, response, turn, requestId);
		} catch (error) {
			const refusal = toRefusal(error);
			if (refusal.code === RESULT_CODE.Internal) {
				this.#parts.logger.error({event: 'internal-error', requestId, reason: (error as Error).message}, 'internal error');
			}

			writeRefusal(response, refusal, requestId);
			message.resume();
		}
	}

	async #handle(message: IncomingMessage, response: ServerResponse, turn: Promise<boolean>, requestId: string): Promise<void> {
		const refusalCode = this.#parts.getRefusalCode();
		if (refusalCode !== undefined) {
			throw new ValeleadError(RESULT_DETAILS[refusalCode].meaning, {code: refusalCode, outcome: OUTCOME.NotRun, retryAfterMs: 1000});
		}

		const {intent} = this.#parts.follower;
		const team = this.#parts.keys.findTeam(intent, message.headers.authorization);
		if (!team) {
			throw new ValeleadError('The key is missing or not known', {code: RESULT_CODE.Unauthenticated});
		}

		if (message.method === 'GET' && message.url === '/v1/models') {
			writeCompleteResponse(response, newModelList(intent, team.name), requestId);
			return;
		}

		const body = await readBody(message, this.#parts.maxBodyBytes);
		if (!await turn) {
			return;
		}

		const request = this.#route(message, team, body);
		await (request.idempotencyKey === '' ? this.#serve(request, response, requestId) : this.#serveOnce(request, response, requestId));
	}

	#route(message: IncomingMessage, team: Team, body: Buffer): RoutedRequest {
		return routeRequest(this.#parts.follower.intent, team, {
			method: message.method ?? 'GET', path: message.url ?? '/', headers: message.headers, body,
		});
	}

	async #serve(request: RoutedRequest, response: ServerResponse, requestId: string): Promise<void> {
		const sink = request.isStream
			? new StreamSink(response, requestId, this.#parts.timers, this.#parts.streamStallMs)
			: new BufferedSink(completeResponse => {
				writeCompleteResponse(response, completeResponse, requestId);
			}, refusal => {
				writeRefusal(response, refusal, requestId);
			});
		response.on('close', () => {
			if (!response.writableFinished) {
				this.#parts.dispatcher.abandon(requestId);
			}
		});
		this.#submit(request, sink, requestId);
	}

	#submit(request: RoutedRequest, sink: ResponseSink, requestId: string): void {
		const now = this.#parts.clock.now();
		this.#parts.dispatcher.submit({
			requestId,
			request,
			sink,
			arrivedAt: now,
			wasCold: !this.#parts.dispatcher.hasEndpoint(request.target),
			dispatchedAt: undefined,
			firstChunkAt: undefined,
			lastChunkAt: now,
		});
	}

	/** Runs a request only after the quorum has committed its claim, and stores its response for repeated requests. */
	async #serveOnce(request: RoutedRequest, response: ServerResponse, requestId: string): Promise<void> {
		const {deadlineMs} = this.#parts.follower.intent.classes.get(request.className)!;
		const reply = await this.#claim(request, requestId, deadlineMs);
		if (reply.kind !== 'claimed') {
			this.#respondFromClaim(reply, response, requestId);
			return;
		}

		const sink = new BufferedSink(completeResponse => {
			void this.#deliverOnce(request, response, requestId, completeResponse);
		}, refusal => {
			void this.#refuseClaimed(request, response, requestId, refusal);
		});
		this.#submit(request, sink, requestId);
	}

	async #claim(request: RoutedRequest, requestId: string, deadlineMs: number): Promise<ClaimReply> {
		try {
			return await this.#parts.claims.claim(request, requestId, deadlineMs + CLAIM_GRACE_MS, deadlineMs);
		} catch {
			void this.#releaseUnconfirmed(request, requestId);
			throw new ValeleadError(RESULT_DETAILS[RESULT_CODE.NoQuorum].meaning, {code: RESULT_CODE.NoQuorum, outcome: OUTCOME.NotRun, retryAfterMs: NO_QUORUM_RETRY_AFTER_MS});
		}
	}

	/** Releases a claim whose commit was not confirmed, because it may exist although the request never ran. */
	async #releaseUnconfirmed(request: RoutedRequest, requestId: string): Promise<void> {
		try {
			await this.#parts.claims.release(request, requestId);
		} catch (error) {
			this.#logUnsettled(requestId, error);
		}
	}

	/** Responds to a repeated request from its existing claim. */
	#respondFromClaim(reply: ClaimReply, response: ServerResponse, requestId: string): void {
		if (reply.kind === 'mismatch') {
			throw new ValeleadError(RESULT_DETAILS[RESULT_CODE.KeyReused].meaning, {code: RESULT_CODE.KeyReused, outcome: OUTCOME.NotRun});
		}

		if (reply.kind === 'running' && !reply.isOverdue) {
			throw new ValeleadError(RESULT_DETAILS[RESULT_CODE.InProgress].meaning, {code: RESULT_CODE.InProgress, outcome: OUTCOME.Unknown, retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS});
		}

		const {settlement} = reply;
		if (settlement?.outcome !== OUTCOME.Ran || !settlement.hasBody) {
			const outcome = settlement?.outcome === OUTCOME.Ran ? OUTCOME.Ran : OUTCOME.Unknown;
			throw new ValeleadError(RESULT_DETAILS[RESULT_CODE.OutcomeUnknown].meaning, {code: RESULT_CODE.OutcomeUnknown, outcome});
		}

		response.setHeader('idempotent-replayed', 'true');
		writeCompleteResponse(response, {status: settlement.status, contentType: settlement.contentType, body: Buffer.from(settlement.body)}, requestId);
	}

	async #deliverOnce(request: RoutedRequest, response: ServerResponse, requestId: string, completeResponse: CompleteResponse): Promise<void> {
		await Promise.race([this.#storeResponse(request, requestId, completeResponse), this.#parts.timers.wait(SETTLE_TIMEOUT_MS)]);
		writeCompleteResponse(response, completeResponse, requestId);
	}

	async #storeResponse(request: RoutedRequest, requestId: string, completeResponse: CompleteResponse): Promise<void> {
		try {
			await this.#parts.claims.settle(request, requestId, completeResponse);
		} catch (error) {
			this.#logUnsettled(requestId, error);
		}
	}

	#logUnsettled(requestId: string, error: unknown): void {
		this.#parts.logger.warn({event: 'claim-not-settled', requestId, reason: (error as Error).message}, 'claim not settled');
	}

	/** Sends the refusal immediately and settles the claim afterwards. */
	async #refuseClaimed(request: RoutedRequest, response: ServerResponse, requestId: string, refusal: Refusal): Promise<void> {
		writeRefusal(response, refusal, requestId);
		try {
			await (refusal.outcome === OUTCOME.NotRun ? this.#parts.claims.release(request, requestId) : this.#parts.claims.settleUnknown(request, requestId));
		} catch (error) {
			this.#logUnsettled(requestId, error);
		}
	}
}
