import {create} from '@bufbuild/protobuf';
import type {Clock, TimerService} from '@valelead/common';
import {
	type FollowerReport, type QuotaGrant, type UpstreamLimits, UpstreamLimitSchema, UpstreamLimitsSchema,
} from '@valelead/protocol';
import {
	type LimitBook, type Loan, type Quota, type QuotaTolerance, QUOTA_UNIT, mutateNamedLimit,
} from '@valelead/quota';
import type {Logger} from 'pino';
import {QuotaRegistry} from './quota-registry.js';

type RegistryParts = {
	readonly voter: {readonly node: {readonly term: number; readonly isCurrentLeader: boolean} | undefined};
	/** Whether an upstream is in the directory. */
	readonly isAnnounced: (upstreamId: string) => boolean;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Hears of limits that gateways must learn at once. */
	readonly onChange: () => void;
};

/** How far requests may come in bursts: 0.9 of this is used, well within one and a half times the limit and 5 more in 4 s. */
const TOLERANCE: QuotaTolerance = {windowMs: 4000, overshoot: 0.25, slack: 3};

/** An upstream gets this many requests a second though it takes fewer, as only an answer tells that its limit has ended. */
const LEAST_PER_SECOND = 0.1;

/** A limit of an upstream that does not announce itself is forgotten after this time, in milliseconds: a new leader hears of all upstreams by then. */
const FORGET_MS = 10_000;

const CHECK_MS = 1000;

const newQuota = (perSecond: number): Quota => ({
	unit: QUOTA_UNIT.Request, perSecond: Math.max(LEAST_PER_SECOND, perSecond), burst: 0, plainTokens: 0,
});

/** Knows, as the leader, the limits that upstreams have named to any gateway, and lends gateways the requests that they may send there. */
export class LimitRegistry {
	readonly #parts: RegistryParts;
	readonly #loans: QuotaRegistry;
	#book: LimitBook = new Map();
	#quotas: ReadonlyMap<string, Quota> = new Map();
	#term = -1;
	#version = 0;

	constructor(parts: RegistryParts) {
		this.#parts = parts;
		this.#loans = new QuotaRegistry({...parts, getQuotas: () => this.#quotas, tolerance: TOLERANCE});
	}

	start(): void {
		this.#loans.start();
		this.#parts.timers.repeat(CHECK_MS, now => {
			this.#forget(now);
		});
	}

	/** Changes with the limits, and with the leadership. */
	get version(): number {
		this.#begin();
		return this.#version;
	}

	get count(): number {
		return this.#book.size;
	}

	/** Takes what a session tells of limits, and lends it what it asks for; undefined where it asks for nothing. */
	note(sessionId: string, {vm, limitSightings, limitUsages}: FollowerReport): Loan[] | undefined {
		this.#begin();
		const now = this.#parts.clock.now();
		for (const {upstreamId, perSecond, ageMs} of limitSightings) {
			this.#take(vm, {upstreamId, perSecond, at: now - ageMs});
		}

		return this.#loans.note(sessionId, limitUsages);
	}

	/** All limits. */
	getList(): UpstreamLimits {
		const limits = [...this.#book].map(([upstreamId, {perSecond}]) => create(UpstreamLimitSchema, {upstreamId, perSecond}));
		return create(UpstreamLimitsSchema, {term: this.#term, limits});
	}

	/** What a session may send, with new loans; undefined where no upstream limits its requests. */
	newGrant(sessionId: string, loans?: readonly Loan[]): QuotaGrant | undefined {
		return this.#loans.newGrant(sessionId, loans);
	}

	#take(vm: string, sighting: Parameters<typeof mutateNamedLimit>[1]): void {
		const {upstreamId, perSecond} = sighting;
		const before = this.#book.get(upstreamId)?.perSecond;
		if (!mutateNamedLimit(this.#book, sighting)) {
			return;
		}

		this.#parts.logger.info({
			event: 'upstream-limit', upstreamId, perSecond, before, toldBy: vm, seenMs: Math.round(this.#parts.clock.now() - sighting.at), term: this.#term,
		}, 'an upstream names another limit');
		this.#publish();
	}

	#publish(): void {
		this.#version += 1;
		this.#quotas = new Map([...this.#book].map(([upstreamId, {perSecond}]) => [upstreamId, newQuota(perSecond)]));
		this.#parts.onChange();
	}

	/** A leadership begins with what gateways tell it; what this voter knew in an earlier one may have ended since. */
	#begin(): void {
		const term = this.#parts.voter.node?.term ?? -1;
		if (term !== this.#term) {
			this.#term = term;
			this.#book = new Map();
			this.#quotas = new Map();
			this.#version += 1;
		}
	}

	#forget(now: number): void {
		const gone = [...this.#book].filter(([upstreamId, {namedAt}]) => now - namedAt > FORGET_MS && !this.#parts.isAnnounced(upstreamId));
		for (const [upstreamId] of gone) {
			this.#book.delete(upstreamId);
		}

		if (gone.length > 0) {
			this.#publish();
		}
	}
}
