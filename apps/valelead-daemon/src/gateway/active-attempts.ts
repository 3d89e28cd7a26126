import type {Buffer} from 'node:buffer';
import {RESPONSE_FRAMING, getResponseFraming} from '@valelead/answer';
import {
	type Clock, OUTCOME, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue,
} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import {ROUTE_KIND, isRepeatable} from '@valelead/routing';
import type {CallerCodec} from '../adapter/caller-codec.js';
import {ABANDONED_EVENT} from './abandoned-event.js';
import {ResponseForwarder} from './response-forwarder.js';
import {getAttemptTimeout} from './get-attempt-timeout.js';
import {mutateChunkTimes} from './mutate-chunk-times.js';
import {newAttemptFailure} from './new-attempt-failure.js';
import type {AbandonedEventValue} from './abandoned-event-value.js';
import type {DispatchLog} from './dispatch-log.js';
import type {ResponseHead} from './response-head.js';
import type {AttemptFailure} from './attempt-failure.js';
import type {AttemptOptions} from './attempt-options.js';
import type {GatewayRequest} from './gateway-request.js';
import type {SentAttempt} from './sent-attempt.js';
import type {UpstreamAgent} from './upstream-agent.js';

type AttemptsParts = {
	readonly codec: CallerCodec;
	readonly clock: Clock;
	readonly log: Pick<DispatchLog, 'logAbandoned'>;
	/** Starts an attempt, which sends the request to the upstream. */
	readonly newAttempt: (terms: AttemptOptions) => SentAttempt;
	/** Returns the connection pool of an upstream. */
	readonly getAgent: (upstreamId: string, service: string) => UpstreamAgent;
	/** Returns true if the request of an attempt would be sent again after the attempt failed with this code and an unknown outcome. */
	readonly isRetryAllowed: (attempt: {readonly requestId: string; readonly attemptId: string; readonly code: ResultCodeValue}) => boolean;
	/** Returns true if an upstream still announces itself or has responded recently. */
	readonly isResponsive: (upstreamId: string) => boolean;
	/** Returns the time since an upstream last sent a response head or the end of a response, in milliseconds; undefined if it never did. */
	readonly getSilentMs: (upstreamId: string) => number | undefined;
	/** Called for each response head and each complete response of an upstream, whatever the status. */
	readonly onAnswer: (upstreamId: string) => void;
	/**
	 * Called for each response with the upstream's rate limit in requests per second, or undefined if the response states none.
	 * @param startedAt - When the request of this response was sent, in monotonic milliseconds.
	 */
	readonly onLimit: (upstreamId: string, perSecond: number | undefined, startedAt: number) => void;
	/** Called when a streamed response begins. */
	readonly onStarted: (request: GatewayRequest, attemptId: string) => void;
	/** Called with the first event of a resumable stream and the upstream that sent it; the event is forwarded once `forward` is called. */
	readonly onFirstEvent: (request: GatewayRequest, upstream: Upstream, forward: () => void) => void;
	/** Called once a successful response has a second part or is complete, which shows that the upstream goes on running the request. */
	readonly onRunning: (request: GatewayRequest) => void;
	/** Called when the response is complete; `passOn` forwards its end to the caller. */
	readonly onEnded: (request: GatewayRequest, attemptId: string, passOn: () => void) => void;
	readonly onFailed: (request: GatewayRequest, attemptId: string, upstream: Upstream, end: AttemptFailure) => void;
	/** Called when an attempt is cancelled before its response is complete, because no caller waits for it any more. */
	readonly onCancelled: (attempt: SentAttempt) => void;
};

type AttemptTarget = {
	readonly attemptId: string;
	readonly upstream: Upstream;
	/** Time left until the request's deadline, in milliseconds. */
	readonly remainingMs: number;
};

type TrackedAttempt = {
	readonly attempt: SentAttempt;
	/** The deadline that the upstream was given, in milliseconds from the start of the attempt. */
	readonly deadlineMs: number;
};

const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;
const HTTP_SERVER_ERROR = 500;

/** Statuses that promise callers that their request has not run and never will: 408, 421, 429 and 503. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Number of parts of a response body that show that the upstream runs the request: it may crash while it sends the first. */
const RUNNING_PARTS = 2;

const isSuccess = (status: number): boolean => status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES;

/** Tracks the attempts of a gateway that are in progress and forwards their responses to the callers. */
export class ActiveAttempts {
	readonly #parts: AttemptsParts;
	readonly #sent = new Map<string, TrackedAttempt>();
	readonly #pipes = new Map<string, ResponseForwarder>();

	constructor(parts: AttemptsParts) {
		this.#parts = parts;
	}

	/** Sends a request to an upstream. An attempt that cannot be started fails like one that was refused before it ran. */
	send(request: GatewayRequest, sending: AttemptTarget): void {
		let attempt: SentAttempt;
		try {
			attempt = this.#newAttempt(request, sending);
		} catch (error) {
			request.attempts -= 1;
			this.#fail(request, sending, newAttemptFailure(RESULT_CODE.AttemptNotStarted, OUTCOME.NotRun, (error as Error).message));
			return;
		}

		this.#sent.set(sending.attemptId, {attempt, deadlineMs: sending.remainingMs});
	}

	/** Cancels an attempt at its upstream without calling `onFailed`. */
	cancel(attemptId: string): void {
		const tracked = this.#sent.get(attemptId);
		if (tracked) {
			this.#cancel(tracked);
		}

		this.#forget(attemptId);
	}

	/** Cancels all attempts at their upstreams. */
	cancelAll(): void {
		for (const tracked of this.#sent.values()) {
			this.#cancel(tracked);
		}
	}

	/**
	 * Fails the attempts that have timed out, one after the other, as each retry leaves less of the retry budget for the next one.
	 * @param getElsewhere - Returns the request of an attempt if another upstream could serve it, or undefined.
	 */
	giveUpOverdue(now: number, getElsewhere: (attemptId: string) => GatewayRequest | undefined): void {
		for (const [attemptId, tracked] of this.#sent) {
			const {attempt} = tracked;
			// Giving up helps if the request would be sent to another upstream, or, as its own one is gone, if the caller can try again itself.
			const isHelpful = ({id}: GatewayRequest, code: ResultCodeValue): boolean =>
				!this.#parts.isResponsive(attempt.upstreamId) || this.#parts.isRetryAllowed({requestId: id, attemptId, code});
			const failure = getAttemptTimeout(attempt, getElsewhere(attemptId), isHelpful, now);
			if (failure) {
				this.#logAbandoned(ABANDONED_EVENT.Overdue, tracked);
				attempt.fail(failure.code, failure.reason);
			}
		}
	}

	#newAttempt(request: GatewayRequest, sending: AttemptTarget): SentAttempt {
		const {codec, clock, newAttempt, getAgent} = this.#parts;
		const {upstream, remainingMs} = sending;
		const startedAt = clock.now();
		return newAttempt({
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
	}

	#newEvents(request: GatewayRequest, {attemptId, upstream}: AttemptTarget, startedAt: number): AttemptOptions['events'] {
		let isSuccessful = false;
		let parts = 0;
		return {
			onLimit: perSecond => {
				this.#parts.onLimit(upstream.id, perSecond, startedAt);
			},
			onHead: answer => {
				isSuccessful = isSuccess(answer.statusCode ?? 0);
				return this.#start(request, {attemptId, upstream}, answer);
			},
			onData: (chunk: Buffer) => {
				parts += 1;
				if (isSuccessful && parts === RUNNING_PARTS) {
					this.#parts.onRunning(request);
				}

				mutateChunkTimes(request, this.#parts.clock.now());
				request.answerBytes += chunk.length;
				this.#forward(attemptId, chunk);
			},
			onEnd: () => {
				const pipe = this.#pipes.get(attemptId);
				this.#pipes.delete(attemptId);
				this.#forget(attemptId);
				this.#parts.onAnswer(upstream.id);
				if (isSuccessful && parts < RUNNING_PARTS) {
					this.#parts.onRunning(request);
				}

				this.#parts.onEnded(request, attemptId, () => {
					this.#passOnEnd(request, upstream, pipe);
				});
			},
			onFailure: end => {
				this.#fail(request, {attemptId, upstream}, end);
			},
		};
	}

	/** Handles the head of a response; returns true if the body is to be delivered, and false if the attempt fails because of the status. */
	#start(request: GatewayRequest, sending: Omit<AttemptTarget, 'remainingMs'>, answer: ResponseHead): boolean {
		const status = answer.statusCode ?? 0;
		this.#parts.onAnswer(sending.upstream.id);
		request.answerFraming = getResponseFraming({method: request.method, status, headers: answer.headers});
		request.answerBytes = 0;
		const isRetried = status >= HTTP_SERVER_ERROR && isRepeatable(request.route) && request.attempts < request.route.maxAttempts
			&& this.#parts.isRetryAllowed({requestId: request.id, attemptId: sending.attemptId, code: RESULT_CODE.UpstreamFailed});
		const isBroken = request.answer.isStarted && status !== HTTP_OK;
		// Only a rejection, which does not come here, shows that the request has not run. Callers repeat an unsafe request after these statuses.
		const isUnproven = PROMISES.has(status) && !isRepeatable(request.route);
		if (isRetried || isBroken || isUnproven) {
			this.#fail(request, sending, newAttemptFailure(RESULT_CODE.UpstreamFailed, OUTCOME.Unknown, `status ${status}`));
			return false;
		}

		const isStream = request.route.kind === ROUTE_KIND.Stream && status === HTTP_OK;
		const maxBytes = request.answer.maxHeldBytes ?? Number.POSITIVE_INFINITY;
		if (!isStream && request.answerFraming === RESPONSE_FRAMING.Length && Number(answer.headers['content-length']) > maxBytes) {
			this.#fail(request, sending, newAttemptFailure(RESULT_CODE.AnswerTooLarge, OUTCOME.Unknown, `a length of ${answer.headers['content-length']} bytes`));
			return false;
		}

		this.#pipes.set(sending.attemptId, new ResponseForwarder(request, answer, forward => {
			this.#parts.onFirstEvent(request, sending.upstream, () => {
				if (this.#sent.has(sending.attemptId)) {
					forward();
				}
			});
		}, reason => {
			this.#sent.get(sending.attemptId)?.attempt.fail(RESULT_CODE.AnswerTooLarge, reason);
		}));
		if (isStream) {
			this.#parts.onStarted(request, sending.attemptId);
		}

		return true;
	}

	/** Forwards the end of a response. An error ends this request only, as others depend on the same turn of the event loop. */
	#passOnEnd(request: GatewayRequest, upstream: Upstream, pipe: ResponseForwarder | undefined): void {
		try {
			pipe?.end();
		} catch {
			request.failedAttempts.push(`${upstream.id} ${RESULT_CODE.Internal} ${OUTCOME.Unknown}`);
			request.answer.refuse({
				code: RESULT_CODE.Internal, message: RESULT_DETAILS[RESULT_CODE.Internal].meaning, outcome: OUTCOME.Unknown, retryAfterMs: 0,
			});
		}
	}

	/** Forwards a part of a response, and pauses the upstream until the caller has read enough. An attempt whose response cannot be forwarded fails. */
	#forward(attemptId: string, chunk: Buffer): void {
		const pipe = this.#pipes.get(attemptId);
		const attempt = this.#sent.get(attemptId)?.attempt;
		try {
			pipe?.data(chunk);
		} catch (error) {
			attempt?.fail(RESULT_CODE.InvalidAnswer, (error as Error).message);
			return;
		}

		if (attempt?.pause && pipe?.isFull) {
			attempt.pause();
			pipe.onceWritable(() => {
				attempt.resume?.();
			});
		}
	}

	#fail(request: GatewayRequest, {attemptId, upstream}: Omit<AttemptTarget, 'remainingMs'>, end: AttemptFailure): void {
		this.#forget(attemptId);
		request.failedAttempts.push(`${upstream.id} ${end.code} ${end.outcome}`);
		this.#parts.onFailed(request, attemptId, upstream, end);
	}

	#cancel(tracked: TrackedAttempt): void {
		this.#logAbandoned(ABANDONED_EVENT.Cancelled, tracked);
		this.#parts.onCancelled(tracked.attempt);
		tracked.attempt.cancel();
	}

	/** Logs an attempt that its upstream may still read: a reset does not take back what the system of the upstream has received. */
	#logAbandoned(event: AbandonedEventValue, {attempt, deadlineMs}: TrackedAttempt): void {
		const ageMs = this.#parts.clock.now() - attempt.startedAt;
		this.#parts.log.logAbandoned(event, attempt, {ageMs, deadlineMs, silentMs: this.#parts.getSilentMs(attempt.upstreamId)});
	}

	#forget(attemptId: string): void {
		this.#sent.delete(attemptId);
		this.#pipes.get(attemptId)?.release();
		this.#pipes.delete(attemptId);
	}
}
