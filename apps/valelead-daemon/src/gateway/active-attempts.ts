import type {Buffer} from 'node:buffer';
import {getAnswerFraming} from '@valelead/answer';
import {type Clock, OUTCOME, RESULT_CODE} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import {ROUTE_KIND, isRepeatable} from '@valelead/routing';
import type {CallerCodec} from '../adapter/caller-codec.js';
import {AnswerPipe} from './answer-pipe.js';
import {getAttemptTimeout} from './get-attempt-timeout.js';
import {mutateChunkTimes} from './mutate-chunk-times.js';
import {newAttemptEnd} from './new-attempt-end.js';
import type {ResponseHead} from './response-head.js';
import type {AttemptEnd} from './attempt-end.js';
import type {AttemptTerms} from './attempt-terms.js';
import type {GatewayRequest} from './gateway-request.js';
import type {SentAttempt} from './sent-attempt.js';
import type {UpstreamAgent} from './upstream-agent.js';

type AttemptsParts = {
	readonly codec: CallerCodec;
	readonly clock: Clock;
	/** Sends a request to an upstream. */
	readonly newAttempt: (terms: AttemptTerms) => SentAttempt;
	/** The connections to an upstream. */
	readonly getAgent: (upstreamId: string, service: string) => UpstreamAgent;
	/** An upstream has answered, whatever it said. */
	readonly onAnswer: (upstreamId: string) => void;
	/**
	 * An upstream has answered, and named a limit of requests a second or none.
	 * @param startedAt - When the answered request was sent, in monotonic milliseconds.
	 */
	readonly onLimit: (upstreamId: string, perSecond: number | undefined, startedAt: number) => void;
	/** A stream has begun. */
	readonly onStarted: (request: GatewayRequest, attemptId: string) => void;
	/** The whole answer has come; `passOn` gives its end to the caller. */
	readonly onEnded: (request: GatewayRequest, attemptId: string, passOn: () => void) => void;
	readonly onFailed: (request: GatewayRequest, attemptId: string, upstream: Upstream, end: AttemptEnd) => void;
	/** An attempt is ended before its answer was complete, as nobody waits for it any more. */
	readonly onCancelled: (attempt: SentAttempt) => void;
};

type Sending = {
	readonly attemptId: string;
	readonly upstream: Upstream;
	/** What is left of the request's time, in milliseconds. */
	readonly remainingMs: number;
};

const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

/** The sendings of a gateway's requests that are in progress, and the ways back to their callers. */
export class ActiveAttempts {
	readonly #parts: AttemptsParts;
	readonly #sent = new Map<string, SentAttempt>();
	readonly #pipes = new Map<string, AnswerPipe>();

	constructor(parts: AttemptsParts) {
		this.#parts = parts;
	}

	send(request: GatewayRequest, sending: Sending): void {
		const {codec, clock, newAttempt, getAgent} = this.#parts;
		const {attemptId, upstream, remainingMs} = sending;
		const startedAt = clock.now();
		const attempt = newAttempt({
			requestId: request.head.id,
			upstreamId: upstream.id,
			address: upstream.address,
			agent: getAgent(upstream.id, request.service),
			codec,
			method: request.method,
			url: request.url,
			headers: codec.newUpstreamHeaders(request.rawHeaders, {
				instanceId: upstream.instanceId, remainingMs, priority: request.caller.rank, team: request.caller.team?.name ?? '', lastEventId: request.lastEventId,
			}),
			body: request.body,
			startedAt,
			events: this.#newEvents(request, sending, startedAt),
		});
		this.#sent.set(attemptId, attempt);
	}

	/** Ends an attempt at its upstream, without a word to anybody. */
	cancel(attemptId: string): void {
		const attempt = this.#sent.get(attemptId);
		if (attempt) {
			this.#cancel(attempt);
		}

		this.#forget(attemptId);
	}

	/** Ends all attempts at their upstreams. */
	cancelAll(): void {
		for (const attempt of this.#sent.values()) {
			this.#cancel(attempt);
		}
	}

	/**
	 * Gives up the attempts that take too long.
	 * @param getElsewhere - The request of an attempt where another upstream could take it, or undefined.
	 */
	giveUpOverdue(now: number, getElsewhere: (attemptId: string) => GatewayRequest | undefined): void {
		for (const [attemptId, attempt] of this.#sent) {
			const failure = getAttemptTimeout(attempt, getElsewhere(attemptId), now);
			if (failure) {
				attempt.fail(failure.code, failure.reason);
			}
		}
	}

	#newEvents(request: GatewayRequest, {attemptId, upstream}: Sending, startedAt: number): AttemptTerms['events'] {
		return {
			onLimit: perSecond => {
				this.#parts.onLimit(upstream.id, perSecond, startedAt);
			},
			onHead: answer => this.#start(request, {attemptId, upstream}, answer),
			onData: (chunk: Buffer) => {
				mutateChunkTimes(request, this.#parts.clock.now());
				request.answerBytes += chunk.length;
				this.#pipes.get(attemptId)?.data(chunk);
			},
			onEnd: () => {
				const pipe = this.#pipes.get(attemptId);
				this.#forget(attemptId);
				this.#parts.onAnswer(upstream.id);
				this.#parts.onEnded(request, attemptId, () => {
					pipe?.end();
				});
			},
			onFailure: end => {
				this.#fail(request, {attemptId, upstream}, end);
			},
		};
	}

	/** Takes the head of an answer; returns whether the rest is wanted. */
	#start(request: GatewayRequest, sending: Omit<Sending, 'remainingMs'>, answer: ResponseHead): boolean {
		const status = answer.statusCode ?? 0;
		this.#parts.onAnswer(sending.upstream.id);
		request.answerFraming = getAnswerFraming({method: request.method, status, headers: answer.headers});
		request.answerBytes = 0;
		const isRetried = status >= HTTP_SERVER_ERROR && isRepeatable(request.route) && request.attempts < request.route.maxAttempts;
		const isBroken = request.answer.isStarted && status !== HTTP_OK;
		if (isRetried || isBroken) {
			this.#fail(request, sending, newAttemptEnd(RESULT_CODE.UpstreamFailed, OUTCOME.Unknown, `status ${status}`));
			return false;
		}

		this.#pipes.set(sending.attemptId, new AnswerPipe(request, answer));
		if (request.route.kind === ROUTE_KIND.Stream && status === HTTP_OK) {
			this.#parts.onStarted(request, sending.attemptId);
		}

		return true;
	}

	#fail(request: GatewayRequest, {attemptId, upstream}: Omit<Sending, 'remainingMs'>, end: AttemptEnd): void {
		this.#forget(attemptId);
		this.#parts.onFailed(request, attemptId, upstream, end);
	}

	#cancel(attempt: SentAttempt): void {
		this.#parts.onCancelled(attempt);
		attempt.cancel();
	}

	#forget(attemptId: string): void {
		this.#sent.delete(attemptId);
		this.#pipes.delete(attemptId);
	}
}
