import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	type Clock, OUTCOME, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, ValeleadError,
} from '@valelead/common';
import {
	type Route, type RouteTable, getRoute, getServiceByWeight,
} from '@valelead/routing';
import type {Logger} from 'pino';
import type {CallerCodec} from '../adapter/caller-codec.js';
import type {CallerRequest} from '../adapter/caller-request.js';
import {afterEventLoopIterations} from '../after-event-loop-iterations.js';
import type {CallerBodies} from '../caller-bodies.js';
import type {FollowerContact} from '../follower/follower-contact.js';
import type {HeldBody} from '../held-body.js';
import type {HeldResponses} from './held-responses.js';
import {HttpResponseWriter} from './http-response-writer.js';
import {getCallerCheck} from './get-caller-check.js';
import {getForwardedHeaders} from './get-forwarded-headers.js';
import {getResumedOrigin} from './get-resumed-origin.js';
import {getTarget} from './get-target.js';
import {isForwardable} from './is-forwardable.js';
import {newGatewayRequest} from './new-gateway-request.js';
import type {Caller} from './caller.js';
import type {CallerPlace} from './caller-place.js';
import type {GatewayRequest} from './gateway-request.js';
import type {OriginSource} from './origin-source.js';

type HandlerParts = OriginSource & {
	readonly codec: CallerCodec;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Bounds the memory of all responses. */
	readonly held: HeldResponses;
	/** Bounds the memory of all bodies. */
	readonly bodies: CallerBodies;
	/** Called with each request once its body has been read completely. */
	readonly onRequest: (request: GatewayRequest) => void;
	/** Called when the caller of a request disconnects before the response is complete. */
	readonly onCallerDisconnected: (request: GatewayRequest) => void;
	readonly getTable: () => RouteTable | undefined;
	/** Returns true if the routing is recent enough to rule out that one of its keys has been revoked since. */
	readonly isConfirmed: () => boolean;
	/** Returns how recent the routing is. */
	readonly getContact: () => FollowerContact;
	readonly isStopping: () => boolean;
};

/** A request whose body is being read. */
type Arrival = {
	readonly message: IncomingMessage;
	readonly head: CallerRequest;
	readonly answer: HttpResponseWriter;
	/** In monotonic milliseconds. */
	readonly arrivedAt: number;
	readonly body: {held: HeldBody | undefined; isGivenUp: boolean};
};

/** Codes with which the reading of a body ends before its end. */
const BODY_FAULTS: ReadonlySet<ResultCodeValue> = new Set([RESULT_CODE.BodyTooLarge, RESULT_CODE.QueueFull, RESULT_CODE.WaitTooLong]);

/**
 * A gateway receives its routing configuration within this time after its start, in milliseconds, even if all controllers start at the same time and
 * must elect a leader first. Callers that are refused meanwhile are told to retry after this time has passed.
 */
const ROUTING_STARTUP_MS = 2500;

/**
 * A routing that no leader has confirmed for this time may lack a route that was acknowledged since, in milliseconds: three heartbeats, and less than the
 * time in which an acknowledged change must be in force.
 */
const MAX_CONFIRMATION_AGE_MS = 1500;

/**
 * Event-loop iterations in which the end of a connection is read after its first request. A connection may have waited in the backlog, whatever the time since
 * the last stall: one of them is accepted in each iteration.
 */
const ITERATIONS_TO_READ_END = 2;

/** The shortest Retry-After time that a caller is given, in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;

/** Handles HTTP requests of callers: finds the route, authenticates the caller, reads the body and passes the request on to be dispatched. */
export class RequestHandler {
	readonly #parts: HandlerParts;
	readonly #startedAt: number;
	/** Connections on which a request has arrived. */
	readonly #usedConnections = new WeakSet<Socket>();
	#nextId = 1;

	constructor(parts: HandlerParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.now();
	}

	/**
	 * Handles a request. Requests of one connection are dispatched one after the other: a response that fails or closes the connection would take the responses
	 * behind it along, although their requests have run.
	 */
	async handle(message: IncomingMessage, response: ServerResponse, place: CallerPlace): Promise<void> {
		const arrivedAt = this.#parts.clock.now();
		const head = this.#parts.codec.decodeRequest(message.headers);
		const body: Arrival['body'] = {held: undefined, isGivenUp: false};
		response.once('close', () => {
			body.held?.release();
		});
		const answer = new HttpResponseWriter({
			// The rest of a body that was given up would be read for as long as its caller sends.
			response, requestId: head.id, isLast: () => body.isGivenUp || (this.#parts.isStopping() && place.isLatest()), held: this.#parts.held,
		});
		try {
			const request = await this.#read({
				message, head, answer, arrivedAt, body,
			});
			response.on('close', () => {
				if (!answer.isEnded) {
					this.#parts.onCallerDisconnected(request);
				}
			});
			if (this.#isFirst(message.socket)) {
				await new Promise<void>(resolve => {
					afterEventLoopIterations(ITERATIONS_TO_READ_END, resolve);
				});
			}

			if (await place.turn && !answer.isCallerDisconnected) {
				this.#dispatch(request);
			} else {
				body.held?.release();
			}
		} catch (error) {
			body.isGivenUp = !message.complete && error instanceof ValeleadError && BODY_FAULTS.has(error.code);
			this.#refuse(answer, head, message, error);
		}
	}

	/**
	 * Passes a request on to be dispatched. An unexpected error there may concern other requests in the same turn, or this one after it was sent, so that this
	 * one is withdrawn and its outcome is unknown.
	 */
	#dispatch(request: GatewayRequest): void {
		try {
			this.#parts.onRequest(request);
		} catch (error) {
			this.#logError(request, error);
			try {
				this.#parts.onCallerDisconnected(request);
			} catch (withdrawalError) {
				this.#logError(request, withdrawalError);
			}

			if (!request.answer.isEnded) {
				request.answer.refuse({
					code: RESULT_CODE.Internal, message: RESULT_DETAILS[RESULT_CODE.Internal].meaning, outcome: OUTCOME.Unknown, retryAfterMs: 0,
				});
			}
		}
	}

	#logError({head}: GatewayRequest, error: unknown): void {
		const {message, stack} = error as Error;
		this.#parts.logger.error({
			event: 'request-error', requestId: head.id, reason: message, stack,
		}, 'an unexpected error while a request was dispatched');
	}

	/** Returns true for the first request on a connection. */
	#isFirst(connection: Socket): boolean {
		const isFirst = !this.#usedConnections.has(connection);
		this.#usedConnections.add(connection);
		return isFirst;
	}

	async #read({message, head, answer, arrivedAt, body}: Arrival): Promise<GatewayRequest> {
		if (!isForwardable({url: message.url ?? '/', rawHeaders: message.rawHeaders})) {
			throw this.#newError(RESULT_CODE.MalformedRequest);
		}

		const table = this.#parts.getTable();
		if (!table) {
			throw this.#newError(RESULT_CODE.NoRouting);
		}

		const route = getRoute(table, message.headers.host ?? '', message.url ?? '/');
		if (!route) {
			throw this.#newError(this.#isRoutingRecent ? RESULT_CODE.UnknownRoute : RESULT_CODE.ConfigurationTooOld);
		}

		const caller = this.#getCaller(table, route, head);
		const deadlineAt = arrivedAt + this.#getTimeoutMs(route, head);
		const held = await this.#parts.bodies.read(message, {maxBytes: table.routing.limits.maxBodyBytes, endsAt: deadlineAt});
		body.held = held;
		const origin = await getResumedOrigin({route, caller, head}, this.#parts);
		const service = origin?.service ?? getServiceByWeight(route, Math.random());
		const id = String(this.#nextId);
		this.#nextId += 1;
		return newGatewayRequest({
			id,
			head,
			caller,
			host: message.headers.host ?? '',
			route,
			service,
			origin,
			target: getTarget(service, head.model, head.adapter),
			method: message.method ?? 'GET',
			url: message.url ?? '/',
			rawHeaders: getForwardedHeaders(message.rawHeaders),
			body: held.bytes,
			answer,
			arrivedAt,
			deadlineAt,
			routingVersion: table.routing.version,
		});
	}

	/** True if a route that the routing lacks cannot have been acknowledged long ago. */
	get #isRoutingRecent(): boolean {
		const {confirmedAgeMs} = this.#parts.getContact();
		return confirmedAgeMs !== undefined && confirmedAgeMs <= MAX_CONFIRMATION_AGE_MS;
	}

	/** Authenticates the caller. This happens before the body is read, so that a refused caller need not send it. */
	#getCaller(table: RouteTable, route: Route, head: CallerRequest): Caller {
		const check = getCallerCheck({
			table, route, head, isConfirmed: this.#parts.isConfirmed(),
		});
		if (check.kind === 'refused') {
			throw this.#newError(check.code);
		}

		return check.caller;
	}

	#getTimeoutMs(route: Route, head: CallerRequest): number {
		return Math.min(route.timeoutMs, head.deadlineMs ?? Number.POSITIVE_INFINITY);
	}

	#newError(code: ResultCodeValue): Error {
		const remainingMs = Math.round(this.#startedAt + ROUTING_STARTUP_MS - this.#parts.clock.now());
		const isRetryable = code === RESULT_CODE.NoRouting || code === RESULT_CODE.ConfigurationTooOld;
		const retryAfterMs = isRetryable ? Math.max(MIN_RETRY_AFTER_MS, remainingMs) : 0;
		return new ValeleadError(RESULT_DETAILS[code].meaning, {code, outcome: OUTCOME.NotRun, retryAfterMs});
	}

	#refuse(answer: HttpResponseWriter, head: CallerRequest, message: IncomingMessage, error: unknown): void {
		const known = error instanceof ValeleadError ? error : undefined;
		// Only a body that breaks off is the caller's fault.
		const code = known?.code ?? (message.complete ? RESULT_CODE.Internal : RESULT_CODE.MalformedRequest);
		this.#parts.logger.info({
			event: 'request-refused', requestId: head.id, host: message.headers.host, url: message.url, code, outcome: OUTCOME.NotRun, reason: (error as Error).message, ...this.#parts.getContact(),
		}, 'request refused');
		answer.refuse({
			code, message: known?.message ?? RESULT_DETAILS[code].meaning, outcome: OUTCOME.NotRun, retryAfterMs: known?.retryAfterMs ?? 0,
		});
		message.resume();
	}
}
