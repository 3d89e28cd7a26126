import type {Clock} from '@valelead/common';
import type {UpstreamLimits as LimitList} from '@valelead/protocol';
import type {LimitSighting} from '@valelead/quota';
import type {Logger} from 'pino';
import type {RateLimitEntry} from './rate-limit-entry.js';

type KnownParts = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Called when an upstream's limit is first learned. */
	readonly onAdded: (upstreamId: string) => void;
	/** Called when an observed limit must be reported to the leader immediately. */
	readonly onReportDue: () => void;
};

/** The limit of an upstream that is missing from the directory is removed this long after it was learned, in milliseconds. */
const MISSING_UPSTREAM_TTL_MS = 10_000;

/** The rate limits of upstreams, as stated in their responses to this gateway and in updates of the leader, which collects them from all gateways. */
export class RateLimitTable {
	readonly #parts: KnownParts;
	readonly #known = new Map<string, RateLimitEntry>();
	#term = -1;

	constructor(parts: KnownParts) {
		this.#parts = parts;
	}

	get count(): number {
		return this.#known.size;
	}

	get upstreamIds(): string[] {
		return [...this.#known.keys()];
	}

	has(upstreamId: string): boolean {
		return this.#known.has(upstreamId);
	}

	/** Returns the limit of an upstream in requests per second from all gateways together; undefined if it has none. */
	getPerSecond(upstreamId: string): number | undefined {
		return this.#known.get(upstreamId)?.perSecond;
	}

	/**
	 * Records the limit that a response states.
	 * @param perSecond - The limit in requests per second; undefined if the response states none.
	 * @param startedAt - When the request of this response was sent, in monotonic milliseconds.
	 */
	noteAnswer(upstreamId: string, perSecond: number | undefined, startedAt: number): void {
		const known = this.#known.get(upstreamId);
		if (known) {
			this.#recordObserved(upstreamId, known, perSecond, startedAt);
			return;
		}

		if (perSecond !== undefined) {
			this.#add(upstreamId, perSecond, undefined);
			this.#parts.onReportDue();
		}
	}

	/** Returns the observed limits that the leader may not know, and marks them as reported at the given time. */
	takeUnreported(sentAt: number): LimitSighting[] {
		const sightings: LimitSighting[] = [];
		for (const [upstreamId, known] of this.#known) {
			if (known.lastReportedAt === undefined) {
				known.lastReportedAt = sentAt;
				sightings.push({upstreamId, perSecond: known.observedPerSecond, at: known.observedAt});
			}
		}

		return sightings;
	}

	/** Marks all limits as unreported, as a new leader or session does not know earlier reports. */
	markAllUnreported(): void {
		for (const known of this.#known.values()) {
			known.lastReportedAt = undefined;
		}
	}

	/**
	 * Applies the leader's list of limits. A limit that is missing from the list is removed, unless the leader may not have received the report of it.
	 * @param reportedAt - When the gateway created the report that the list answers, in monotonic milliseconds.
	 * @returns True if the list comes from a new leader, to which all limits must be reported.
	 */
	applyList({term, limits}: LimitList, reportedAt: number): boolean {
		const isNewTerm = term !== this.#term;
		this.#term = term;
		for (const {upstreamId, perSecond} of limits) {
			this.#applyListed(upstreamId, perSecond, reportedAt);
		}

		if (!isNewTerm) {
			this.#end(new Set(limits.map(({upstreamId}) => upstreamId)), reportedAt);
		}

		return isNewTerm;
	}

	/** Removes upstreams that have left the directory. A new leader may list the limit of an upstream before the upstream has announced itself to it. */
	retain(upstreamIds: ReadonlySet<string>): void {
		const now = this.#parts.clock.now();
		for (const [id, {knownAt}] of this.#known) {
			if (!upstreamIds.has(id) && now - knownAt > MISSING_UPSTREAM_TTL_MS) {
				this.#known.delete(id);
			}
		}
	}

	#add(upstreamId: string, perSecond: number, lastReportedAt: number | undefined): void {
		const now = this.#parts.clock.now();
		this.#known.set(upstreamId, {
			perSecond, knownAt: now, observedPerSecond: perSecond, observedAt: now, lastReportedAt,
		});
		this.#log(upstreamId, perSecond, undefined);
		this.#parts.onAdded(upstreamId);
	}

	#recordObserved(upstreamId: string, known: RateLimitEntry, perSecond: number | undefined, startedAt: number): void {
		// The response to a request that was sent before the limit was known may have been created before the upstream set the limit.
		if (perSecond === undefined && startedAt < known.knownAt) {
			return;
		}

		known.observedPerSecond = perSecond;
		known.observedAt = this.#parts.clock.now();
		known.lastReportedAt = undefined;
		if (perSecond !== known.perSecond) {
			this.#parts.onReportDue();
		}

		if (perSecond !== undefined && perSecond < known.perSecond) {
			this.#set(upstreamId, known, perSecond);
		}
	}

	#applyListed(upstreamId: string, perSecond: number, reportedAt: number): void {
		const known = this.#known.get(upstreamId);
		if (!known) {
			this.#add(upstreamId, perSecond, reportedAt);
			return;
		}

		const isUnreported = known.lastReportedAt === undefined || known.lastReportedAt > reportedAt;
		this.#set(upstreamId, known, isUnreported ? Math.min(perSecond, known.perSecond) : perSecond);
	}

	#set(upstreamId: string, known: RateLimitEntry, perSecond: number): void {
		if (perSecond !== known.perSecond) {
			this.#log(upstreamId, perSecond, known.perSecond);
			known.perSecond = perSecond;
		}
	}

	#end(listed: ReadonlySet<string>, reportedAt: number): void {
		for (const [upstreamId, {perSecond, lastReportedAt}] of this.#known) {
			const isReported = lastReportedAt !== undefined && lastReportedAt <= reportedAt;
			if (!listed.has(upstreamId) && isReported) {
				this.#known.delete(upstreamId);
				this.#log(upstreamId, undefined, perSecond);
			}
		}
	}

	#log(upstreamId: string, perSecond: number | undefined, before: number | undefined): void {
		this.#parts.logger.info({
			event: 'upstream-limit', upstreamId, perSecond, before, term: this.#term,
		}, 'the rate limit of an upstream changed');
	}
}
