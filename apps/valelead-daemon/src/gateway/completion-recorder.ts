import type {Clock, OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {Logger} from 'pino';
import type {Metrics} from '../metrics/metrics.js';
import type {GatewayRequest} from './gateway-request.js';
import type {GracePeriod} from './grace-period.js';

type RecorderParts = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Time since the leader was heard, in milliseconds. */
	readonly getRoutingAgeMs: () => number;
	/** Undefined until the gateway is told to stop. */
	readonly getGrace: () => GracePeriod | undefined;
};

type StopFields = {
	readonly arrivedAfterStopMs?: number;
	readonly deadlineToEndMs?: number;
	readonly graceLeftMs?: number;
};

const MS_PER_SECOND = 1000;

/** Records how requests ended, in metrics by team and class and in one line of the log each. */
export class CompletionRecorder {
	readonly #parts: RecorderParts;

	constructor(parts: RecorderParts) {
		this.#parts = parts;
	}

	record(request: GatewayRequest, code: ResultCodeValue, outcome: OutcomeValue, reason: string): void {
		const now = this.#parts.clock.now();
		this.#measure(request, code, now);
		this.#log(request, {code, outcome, reason}, now);
	}

	/** A request is broken off at the end of the grace period. */
	recordAborted({arrivedAt}: GatewayRequest): void {
		const grace = this.#parts.getGrace();
		const isLate = grace !== undefined && arrivedAt >= grace.startedAt;
		this.#parts.metrics.stopCuts.inc({arrived: isLate ? 'after' : 'before'});
	}

	#measure({caller, route, arrivedAt, dispatchedAt, firstChunkAt: firstPartAt}: GatewayRequest, code: ResultCodeValue, now: number): void {
		const {metrics} = this.#parts;
		const labels = {team: metrics.getTeamLabel(caller.team?.name ?? ''), class: route.name};
		metrics.results.inc({...labels, code});
		metrics.duration.observe(labels, (now - arrivedAt) / MS_PER_SECOND);
		if (dispatchedAt !== undefined) {
			metrics.queueWait.observe(labels, (dispatchedAt - arrivedAt) / MS_PER_SECOND);
			metrics.usedQuota.inc({team: labels.team}, caller.cost);
		}

		if (firstPartAt !== undefined) {
			metrics.firstToken.observe(labels, (firstPartAt - arrivedAt) / MS_PER_SECOND);
		}
	}

	#log(request: GatewayRequest, end: {readonly code: ResultCodeValue; readonly outcome: OutcomeValue; readonly reason: string}, now: number): void {
		const {caller, route, head, arrivedAt, dispatchedAt, firstChunkAt: firstPartAt} = request;
		this.#parts.logger.info({
			event: 'request-ended',
			requestId: head.id,
			fingerprint: request.fingerprint,
			team: caller.team?.name,
			cost: caller.cost,
			route: route.name,
			target: request.target,
			routingVersion: request.routingVersion,
			upstreamId: request.upstreamId,
			awaitedUpstreamId: request.awaitedUpstreamId,
			attempts: request.attempts,
			...end,
			waitedMs: Math.round((dispatchedAt ?? now) - arrivedAt),
			firstPartMs: firstPartAt === undefined ? undefined : Math.round(firstPartAt - arrivedAt),
			longestPauseMs: Math.round(request.longestPauseMs),
			tookMs: Math.round(now - arrivedAt),
			answerFraming: request.answerFraming,
			answerBytes: request.answerBytes,
			maxNewTokens: head.maxNewTokens,
			...this.#getStopFields(request),
			routingAgeMs: Math.round(this.#parts.getRoutingAgeMs()),
		}, 'request ended');
	}

	/** How long after the stop signal a request came, and what was left of the grace period, beyond its own deadline and when it was sent. */
	#getStopFields({arrivedAt, deadlineAt, dispatchedAt}: GatewayRequest): StopFields {
		const grace = this.#parts.getGrace();
		if (!grace) {
			return {};
		}

		return {
			arrivedAfterStopMs: Math.round(arrivedAt - grace.startedAt),
			deadlineToEndMs: Math.round(grace.endsAt - deadlineAt),
			...(dispatchedAt !== undefined && {graceLeftMs: Math.round(grace.endsAt - dispatchedAt)}),
		};
	}
}
