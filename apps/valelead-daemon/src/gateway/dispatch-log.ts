import type {Logger} from 'pino';
import type {AbandonedEventValue} from './abandoned-event-value.js';
import type {AttemptFailure} from './attempt-failure.js';
import type {GatewayRequest} from './gateway-request.js';
import type {SentAttempt} from './sent-attempt.js';
import type {PlacementChange} from './placement-change.js';
import type {StoreLimitChange} from './store-limit-change.js';

type GivenUp = {
	/** Forecast time until the unit of the request is loaded, in milliseconds. */
	readonly forecastMs: number;
	/** The Retry-After time that the caller is given, in milliseconds. */
	readonly retryAfterMs: number;
	/** Time for which the request has waited, in milliseconds. */
	readonly waitedMs: number;
	/** Number of engines that have a copy of the model of the request or have the model in their load queue. */
	readonly sourceCount: number;
};

/** What was known of an attempt when it was abandoned, in milliseconds. */
type AbandonedTimes = {
	/** Time since the attempt was started. */
	readonly ageMs: number;
	/** The deadline that the upstream was given, from the start of the attempt. */
	readonly deadlineMs: number;
	/** Time since the upstream last sent a response head or the end of a response; undefined if it never did. */
	readonly silentMs: number | undefined;
};

type RetryCharge = {
	/** True if the retry budget of the service has a retry left. */
	readonly isAllowed: boolean;
	/** Retries that this gateway may still send to the service. */
	readonly left: number;
	/** Number of gateways that share the retry budget. */
	readonly gatewayCount: number;
};

/** Longest logged text of a caller's header or an event's id, in characters; both may have any length. */
const MAX_LOGGED_LENGTH = 64;

const getLogText = (text: string): string => text.slice(0, MAX_LOGGED_LENGTH);

/** Logs the dispatch decisions on requests, retries and model loads. */
export class DispatchLog {
	readonly #logger: Logger;

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	logGivenUp({head, target, awaitedUpstreamId, route}: GatewayRequest, {forecastMs, retryAfterMs, waitedMs, sourceCount}: GivenUp): void {
		this.#logger.info({
			event: 'request-given-up',
			requestId: head.id,
			target,
			awaitedUpstreamId,
			forecastMs: Math.round(forecastMs),
			retryAfterMs: Math.round(retryAfterMs),
			waitedMs: Math.round(waitedMs),
			sourceCount,
			callerPatienceMs: route.callerPatienceMs,
		}, 'request refused: its model is forecast to load too late');
	}

	/** @param isLast - True if the request is not sent to another upstream. */
	logFailed({head, fingerprint, upstreamId, softwareVersion, attempts, lastEventId}: GatewayRequest, end: AttemptFailure, isLast: boolean): void {
		const {code, outcome, reason, connection, phase} = end;
		this.#logger.info({
			event: 'attempt-failed',
			requestId: head.id,
			fingerprint,
			upstreamId,
			softwareVersion,
			attempt: attempts,
			lastEventId: lastEventId && getLogText(lastEventId),
			code,
			outcome,
			reason,
			connection,
			phase,
			isLast,
		}, 'attempt failed');
	}

	/**
	 * Logs a dispatch that resumes a stream.
	 * @param previousVersion - The software version that began the stream.
	 */
	logResumed({head, upstreamId, softwareVersion, lastEventId}: GatewayRequest, previousVersion: string | undefined): void {
		this.#logger.info({
			event: 'stream-resumed',
			requestId: head.id,
			resumedRequestId: getLogText(head.resumedRequestId),
			resumedBy: lastEventId === undefined ? 'caller' : 'gateway',
			lastEventId: getLogText(lastEventId ?? head.lastEventId),
			upstreamId,
			softwareVersion,
			previousVersion,
		}, 'stream resumed at an upstream');
	}

	logRetry({head, service, attempts}: GatewayRequest, {isAllowed, left, gatewayCount}: RetryCharge): void {
		this.#logger.info({
			event: isAllowed ? 'retry-charged' : 'retry-refused', requestId: head.id, service, attempt: attempts, left: Math.round(left * 100) / 100, gatewayCount,
		}, isAllowed ? 'retry charged to the retry budget of the service' : 'retry refused: the retry budget of the service is exhausted');
	}

	/** Logs an abandoned attempt. A request that was sent without a response may still reach its upstream. */
	logAbandoned(event: AbandonedEventValue, {
		requestId, upstreamId, isSent, isAnswered, isConnectionReused,
	}: SentAttempt, {ageMs, deadlineMs, silentMs}: AbandonedTimes): void {
		this.#logger.info({
			event,
			requestId,
			upstreamId,
			isSent,
			isAnswered,
			isConnectionReused,
			ageMs: Math.round(ageMs),
			deadlineMs: Math.round(deadlineMs),
			silentMs: silentMs === undefined ? undefined : Math.round(silentMs),
		}, 'attempt abandoned');
	}

	logStall(stalledMs: number): void {
		this.#logger.warn({event: 'process-stalled', stalledMs: Math.round(stalledMs)}, 'this process stood still');
	}

	logLoadMoved(change: PlacementChange): void {
		this.#logger.info({
			event: 'load-moved', ...change, stoodMs: Math.round(change.stoodMs), expectedMs: Math.round(change.expectedMs),
		}, 'load moved to another engine');
	}

	logStoreLimit(change: StoreLimitChange): void {
		this.#logger.info({event: 'store-limit', ...change}, 'limit of concurrent fetches from the weight store changed');
	}
}
