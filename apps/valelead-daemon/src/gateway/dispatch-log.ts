import type {Logger} from 'pino';
import type {AttemptEnd} from './attempt-end.js';
import type {GatewayRequest} from './gateway-request.js';
import type {SentAttempt} from './sent-attempt.js';
import type {SiteChange} from './site-change.js';
import type {StoreLimitChange} from './store-limit-change.js';

type GivenUp = {
	/** Until its model is loaded at the soonest, and for how long it has waited, in milliseconds. */
	readonly forecastMs: number;
	readonly waitedMs: number;
	/** Engines that keep a copy of its model or have it in their queue. */
	readonly sourceCount: number;
};

type RetryCharge = {
	readonly isAllowed: boolean;
	/** Retries that this gateway may still send to the service. */
	readonly left: number;
	/** Gateways that share the reserve of retries. */
	readonly gatewayCount: number;
};

/** Writes down the decisions on requests and loads. */
export class DispatchLog {
	readonly #logger: Logger;

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	noteGivenUp({head, target, awaitedUpstreamId, route}: GatewayRequest, {forecastMs, waitedMs, sourceCount}: GivenUp): void {
		this.#logger.info({
			event: 'request-given-up',
			requestId: head.id,
			target,
			awaitedUpstreamId,
			forecastMs: Math.round(forecastMs),
			waitedMs: Math.round(waitedMs),
			sourceCount,
			callerPatienceMs: route.callerPatienceMs,
		}, 'request given up');
	}

	/** @param isLast - Whether no other upstream is risked with the request. */
	noteFailed({head, fingerprint, upstreamId, attempts}: GatewayRequest, end: AttemptEnd, isLast: boolean): void {
		const {code, outcome, reason, connection, phase} = end;
		this.#logger.info({
			event: 'attempt-failed', requestId: head.id, fingerprint, upstreamId, attempt: attempts, code, outcome, reason, connection, phase, isLast,
		}, 'attempt failed');
	}

	noteRetry({head, service, attempts}: GatewayRequest, {isAllowed, left, gatewayCount}: RetryCharge): void {
		this.#logger.info({
			event: isAllowed ? 'retry-charged' : 'retry-refused', requestId: head.id, service, attempt: attempts, left: Math.round(left * 100) / 100, gatewayCount,
		}, isAllowed ? 'a retry was charged to the budget of its service' : 'the budget of its service has no retry left for a request');
	}

	/** What was sent to an upstream that has not answered may still be delivered there. */
	noteCancelled({
		requestId, upstreamId, isSent, isAnswered, isConnectionReused, startedAt,
	}: SentAttempt, now: number): void {
		this.#logger.info({
			event: 'attempt-cancelled', requestId, upstreamId, isSent, isAnswered, isConnectionReused, ageMs: Math.round(now - startedAt),
		}, 'attempt cancelled');
	}

	noteStall(stalledMs: number): void {
		this.#logger.warn({event: 'process-stalled', stalledMs: Math.round(stalledMs)}, 'this process stood still');
	}

	noteMoved(change: SiteChange): void {
		this.#logger.info({
			event: 'load-moved', ...change, stoodMs: Math.round(change.stoodMs), expectedMs: Math.round(change.expectedMs),
		}, 'load moved to another engine');
	}

	noteStoreLimit(change: StoreLimitChange): void {
		this.#logger.info({event: 'store-limit', ...change}, 'engines fetch another number of models at once');
	}
}
