import {create} from '@bufbuild/protobuf';
import type {Clock, TimerService} from '@valelead/common';
import {
	type FollowerReport, type QuotaGrant, type UpstreamLimits, UpstreamLimitSchema, UpstreamLimitsSchema,
} from '@valelead/protocol';
import {
	type LimitTable, type Loan, type Quota, type QuotaTolerance, QUOTA_UNIT, mutateAnnouncedLimit,
} from '@valelead/quota';
import type {Logger} from 'pino';
import {QuotaRegistry} from './quota-registry.js';

type RegistryParts = {
	readonly voter: {readonly node: {readonly term: number; readonly isCurrentLeader: boolean} | undefined};
	/** Returns true if an upstream is in the directory. */
	readonly isAnnounced: (upstreamId: string) => boolean;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Called when limits change that must be sent to gateways immediately. */
	readonly onChange: () => void;
};

/**
 * Burst tolerance of the loans for requests to a limited upstream. Of this tolerance 0.9 is used, which stays well below one and a half times the limit
 * plus 5 requests in 4 s.
 */
const TOLERANCE: QuotaTolerance = {windowMs: 4000, overshoot: 0.25, slack: 3};

/** Minimum rate of requests per second to an upstream, even if its limit is lower: only its responses show that the limit no longer applies. */
const MIN_PER_SECOND = 0.1;

/**
 * A limit is removed if it is older than this time and its upstream is not in the directory, in milliseconds. All upstreams announce themselves to
 * a new leader within this time.
 */
const EXPIRY_MS = 10_000;

const EXPIRY_CHECK_MS = 1000;

const newQuota = (perSecond: number): Quota => ({
	unit: QUOTA_UNIT.Request, perSecond: Math.max(MIN_PER_SECOND, perSecond), burst: 0, plainTokens: 0,
});

/**
 * Collects the rate limits that upstreams have stated in responses to any gateway, and lends gateways the requests that they may send to those
 * upstreams. Runs on the leader.
 */
export class LimitRegistry {
	readonly #parts: RegistryParts;
	readonly #loans: QuotaRegistry;
	#limits: LimitTable = new Map();
	#quotas: ReadonlyMap<string, Quota> = new Map();
	#term = -1;
	#version = 0;

	constructor(parts: RegistryParts) {
		this.#parts = parts;
		this.#loans = new QuotaRegistry({...parts, getQuotas: () => this.#quotas, tolerance: TOLERANCE});
	}

	start(): void {
		this.#loans.start();
		this.#parts.timers.repeat(EXPIRY_CHECK_MS, now => {
			this.#removeExpired(now);
		});
	}

	/** Version of the limits. Increases when a limit changes and when a term starts. */
	get version(): number {
		this.#clearOnNewTerm();
		return this.#version;
	}

	get count(): number {
		return this.#limits.size;
	}

	/** Processes the limits and usage in a session's report. Returns the loans granted to the session; undefined if there are none. */
	note(sessionId: string, {vm, limitSightings, limitUsages}: FollowerReport): Loan[] | undefined {
		this.#clearOnNewTerm();
		const now = this.#parts.clock.now();
		for (const {upstreamId, perSecond, ageMs} of limitSightings) {
			this.#addSighting(vm, {upstreamId, perSecond, at: now - ageMs});
		}

		return this.#loans.note(sessionId, limitUsages);
	}

	/** Returns the message with all known limits. */
	getList(): UpstreamLimits {
		const limits = [...this.#limits].map(([upstreamId, {perSecond}]) => create(UpstreamLimitSchema, {upstreamId, perSecond}));
		return create(UpstreamLimitsSchema, {term: this.#term, limits});
	}

	/** Returns the grant for a session, with its new loans; undefined if no upstream has a limit. */
	newGrant(sessionId: string, loans?: readonly Loan[]): QuotaGrant | undefined {
		return this.#loans.newGrant(sessionId, loans);
	}

	#addSighting(vm: string, sighting: Parameters<typeof mutateAnnouncedLimit>[1]): void {
		const {upstreamId, perSecond} = sighting;
		const before = this.#limits.get(upstreamId)?.perSecond;
		if (!mutateAnnouncedLimit(this.#limits, sighting)) {
			return;
		}

		this.#parts.logger.info({
			event: 'upstream-limit', upstreamId, perSecond, before, toldBy: vm, seenMs: Math.round(this.#parts.clock.now() - sighting.at), term: this.#term,
		}, 'upstream reported a changed rate limit');
		this.#publish();
	}

	#publish(): void {
		this.#version += 1;
		this.#quotas = new Map([...this.#limits].map(([upstreamId, {perSecond}]) => [upstreamId, newQuota(perSecond)]));
		this.#parts.onChange();
	}

	/** Clears the limits when the term changes: limits from an earlier term may have ended, and gateways report the current limits again. */
	#clearOnNewTerm(): void {
		const term = this.#parts.voter.node?.term ?? -1;
		if (term !== this.#term) {
			this.#term = term;
			this.#limits = new Map();
			this.#quotas = new Map();
			this.#version += 1;
		}
	}

	#removeExpired(now: number): void {
		const expired = [...this.#limits].filter(([upstreamId, {announcedAt}]) => now - announcedAt > EXPIRY_MS && !this.#parts.isAnnounced(upstreamId));
		for (const [upstreamId] of expired) {
			this.#limits.delete(upstreamId);
		}

		if (expired.length > 0) {
			this.#publish();
		}
	}
}
