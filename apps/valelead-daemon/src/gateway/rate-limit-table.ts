import type {Clock} from '@valelead/common';
import type {UpstreamLimits as LimitList} from '@valelead/protocol';
import type {LimitSighting} from '@valelead/quota';
import type {Logger} from 'pino';
import type {RateLimitEntry} from './rate-limit-entry.js';

type KnownParts = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Hears of a limit that was not known before. */
	readonly onAdded: (upstreamId: string) => void;
	/** Hears that the leader must be told at once. */
	readonly onReportDue: () => void;
};

/** An upstream that is not in the directory so long after its limit was heard of is gone, in milliseconds. */
const FORGET_MS = 10_000;

/** The limits of upstreams that a gateway knows: from answers, and from a leader that hears of the answers to all gateways. */
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

	/** Requests a second from all gateways together; undefined where the upstream has no limit. */
	getPerSecond(upstreamId: string): number | undefined {
		return this.#known.get(upstreamId)?.perSecond;
	}

	/**
	 * Takes what an answer says.
	 * @param perSecond - The limit that it names; undefined where it names none.
	 * @param startedAt - When the answered request was sent, in monotonic milliseconds.
	 */
	noteAnswer(upstreamId: string, perSecond: number | undefined, startedAt: number): void {
		const known = this.#known.get(upstreamId);
		if (known) {
			this.#noteSeen(upstreamId, known, perSecond, startedAt);
			return;
		}

		if (perSecond !== undefined) {
			this.#add(upstreamId, perSecond, undefined);
			this.#parts.onReportDue();
		}
	}

	/** What the leader may not know; it counts as told with a report of this time. */
	takeSightings(sentAt: number): LimitSighting[] {
		const sightings: LimitSighting[] = [];
		for (const [upstreamId, known] of this.#known) {
			if (known.toldAt === undefined) {
				known.toldAt = sentAt;
				sightings.push({upstreamId, perSecond: known.seenPerSecond, at: known.seenAt});
			}
		}

		return sightings;
	}

	/** Another leader, or a new session, knows nothing of what was told. */
	markAllUnreported(): void {
		for (const known of this.#known.values()) {
			known.toldAt = undefined;
		}
	}

	/**
	 * Takes the leader's list. What it does not name has ended, unless the leader may not have heard of it.
	 * @param reportedAt - When the report was made that it answers, in monotonic milliseconds.
	 * @returns Whether the leader is another one than before, which is to be told all.
	 */
	takeList({term, limits}: LimitList, reportedAt: number): boolean {
		const isNewTerm = term !== this.#term;
		this.#term = term;
		for (const {upstreamId, perSecond} of limits) {
			this.#takeListed(upstreamId, perSecond, reportedAt);
		}

		if (!isNewTerm) {
			this.#end(new Set(limits.map(({upstreamId}) => upstreamId)), reportedAt);
		}

		return isNewTerm;
	}

	/** Forgets upstreams that are gone. A new leader may tell of one before that has announced itself there. */
	retain(upstreamIds: ReadonlySet<string>): void {
		const now = this.#parts.clock.now();
		for (const [id, {knownAt}] of this.#known) {
			if (!upstreamIds.has(id) && now - knownAt > FORGET_MS) {
				this.#known.delete(id);
			}
		}
	}

	#add(upstreamId: string, perSecond: number, toldAt: number | undefined): void {
		const now = this.#parts.clock.now();
		this.#known.set(upstreamId, {
			perSecond, knownAt: now, seenPerSecond: perSecond, seenAt: now, toldAt,
		});
		this.#log(upstreamId, perSecond, undefined);
		this.#parts.onAdded(upstreamId);
	}

	#noteSeen(upstreamId: string, known: RateLimitEntry, perSecond: number | undefined, startedAt: number): void {
		// An answer to a request that was sent before may have been made before the limit was named.
		if (perSecond === undefined && startedAt < known.knownAt) {
			return;
		}

		known.seenPerSecond = perSecond;
		known.seenAt = this.#parts.clock.now();
		known.toldAt = undefined;
		if (perSecond !== known.perSecond) {
			this.#parts.onReportDue();
		}

		if (perSecond !== undefined && perSecond < known.perSecond) {
			this.#set(upstreamId, known, perSecond);
		}
	}

	#takeListed(upstreamId: string, perSecond: number, reportedAt: number): void {
		const known = this.#known.get(upstreamId);
		if (!known) {
			this.#add(upstreamId, perSecond, reportedAt);
			return;
		}

		const isUntold = known.toldAt === undefined || known.toldAt > reportedAt;
		this.#set(upstreamId, known, isUntold ? Math.min(perSecond, known.perSecond) : perSecond);
	}

	#set(upstreamId: string, known: RateLimitEntry, perSecond: number): void {
		if (perSecond !== known.perSecond) {
			this.#log(upstreamId, perSecond, known.perSecond);
			known.perSecond = perSecond;
		}
	}

	#end(listed: ReadonlySet<string>, reportedAt: number): void {
		for (const [upstreamId, {perSecond, toldAt}] of this.#known) {
			const isToldOf = toldAt !== undefined && toldAt <= reportedAt;
			if (!listed.has(upstreamId) && isToldOf) {
				this.#known.delete(upstreamId);
				this.#log(upstreamId, undefined, perSecond);
			}
		}
	}

	#log(upstreamId: string, perSecond: number | undefined, before: number | undefined): void {
		this.#parts.logger.info({
			event: 'upstream-limit', upstreamId, perSecond, before, term: this.#term,
		}, 'an upstream has another limit');
	}
}
