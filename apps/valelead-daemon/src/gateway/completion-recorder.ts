import type {Clock, OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {Logger} from 'pino';
import type {FollowerContact} from '../follower/follower-contact.js';
import type {Metrics} from '../metrics/metrics.js';
import type {GatewayRequest} from './gateway-request.js';
import type {GracePeriod} from './grace-period.js';

type RecorderParts = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Returns how recent the routing is, for the log. */
	readonly getContact: () => FollowerContact;
	/** Returns the grace period of the shutdown, or undefined before the stop signal. */
	readonly getGrace: () => GracePeriod | undefined;
};

type StopFields = {
	readonly arrivedAfterStopMs?: number;
	readonly deadlineToEndMs?: number;
	readonly graceLeftMs?: number;
};

const MS_PER_SECOND = 1000;

/** Records the end of each request in the metrics, by team and class, and in one log line. */
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

	/** Counts a request that is aborted at the end of the grace period. */
	recordAborted({arrivedAt}: GatewayRequest): void {
		const grace = this.#parts.getGrace();
		const isLate = grace !== undefined && arrivedAt >= grace.startedAt;
		this.#parts.metrics.requestsAbortedAtStop.inc({arrived: isLate ? 'after' : 'before'});
	}

	#measure({caller, route, arrivedAt, dispatchedAt, firstChunkAt}: GatewayRequest, code: ResultCodeValue, now: number): void {
		const {metrics} = this.#parts;
		const labels = {team: metrics.getTeamLabel(caller.team?.name ?? ''), class: route.name};
		metrics.results.inc({...labels, code});
		metrics.duration.observe(labels, (now - arrivedAt) / MS_PER_SECOND);
		if (dispatchedAt !== undefined) {
			metrics.queueWait.observe(labels, (dispatchedAt - arrivedAt) / MS_PER_SECOND);
			metrics.usedQuota.inc({team: labels.team}, caller.cost);
		}

		if (firstChunkAt !== undefined) {
			metrics.firstToken.observe(labels, (firstChunkAt - arrivedAt) / MS_PER_SECOND);
		}
	}

	#log(request: GatewayRequest, end: {readonly code: ResultCodeValue; readonly outcome: OutcomeValue; readonly reason: string}, now: number): void {
		const {caller, route, head, arrivedAt, dispatchedAt, firstChunkAt} = request;
		const {voterAddress, leaderAgeMs, confirmedAgeMs} = this.#parts.getContact();
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
			softwareVersion: request.softwareVersion,
			awaitedUpstreamId: request.awaitedUpstreamId,
			attempts: request.attempts,
			failedAttempts: request.failedAttempts,
			...end,
			waitedMs: Math.round((dispatchedAt ?? now) - arrivedAt),
			firstPartMs: firstChunkAt === undefined ? undefined : Math.round(firstChunkAt - arrivedAt),
			longestPauseMs: Math.round(request.longestPauseMs),
			tookMs: Math.round(now - arrivedAt),
			answerFraming: request.answerFraming,
			answerBytes: request.answerBytes,
			maxNewTokens: head.maxNewTokens,
			...this.#getStopFields(request),
			voterAddress,
			routingAgeMs: leaderAgeMs,
			confirmedAgeMs,
		}, 'request ended');
	}

	/**
	 * Returns the log fields of a shutdown, in milliseconds: the time from the stop signal to the arrival of the request, from its deadline to the end
	 * of the grace period, and from its dispatch to the end of the grace period. Empty before the stop signal.
	 */
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
