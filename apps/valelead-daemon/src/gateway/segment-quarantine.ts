import type {Clock} from '@valelead/common';
import type {QuarantinedRequest} from '@valelead/protocol';
import {
	type CrashLedger,
	QUARANTINE_MS,
	getSegmentCrashes,
	getSegmentSetRuns,
	hasAllSegments,
	isRecentlyServed,
	mutateProvenSegments,
	mutateQuarantinedSegments,
	mutateReleasedSegments,
} from '@valelead/quarantine';
import type {Logger} from 'pino';
import {decodeFingerprint} from '../follower/decode-fingerprint.js';

type SegmentParts = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** The crashes that this gateway observed. */
	readonly ledger: CrashLedger;
};

/** Where a quarantine decision was made. */
type DecisionSource = 'own' | 'leader';

/** Maximum number of run ids in one log line. */
const MAX_LOGGED_RUNS = 12;

/** The sets of prompt segments that a gateway must not send to upstreams, as the leader decided, or as the gateway decided from the crashes that it observed. */
export class SegmentQuarantine {
	readonly #parts: SegmentParts;
	/** End of the quarantine of each set, in monotonic milliseconds by id of the set. */
	readonly #until = new Map<string, number>();
	/** Ids of the crashed runs that count against each segment, by fingerprint of the segment. */
	#runsBySegment: ReadonlyMap<string, ReadonlySet<string>> = new Map();

	constructor(parts: SegmentParts) {
		this.#parts = parts;
	}

	get size(): number {
		return this.#until.size;
	}

	/** True if no set is quarantined and no crash counts against a segment. */
	get isEmpty(): boolean {
		return this.#until.size === 0 && this.#runsBySegment.size === 0;
	}

	/** Returns the time for which a prompt may not be sent, in milliseconds; 0 if none of its sets of segments is quarantined. */
	getRemainingMs(segments: readonly string[]): number {
		let remainingMs = 0;
		for (const [id, until] of segments.length === 0 ? [] : this.#until) {
			if (hasAllSegments(segments, this.#parts.ledger.quarantinedSegments.get(id) ?? [])) {
				remainingMs = Math.max(remainingMs, until - this.#parts.clock.now());
			}
		}

		return remainingMs;
	}

	/** Returns the ids of the crashed runs that count against a segment. */
	getRuns(segment: string): ReadonlySet<string> {
		return this.#runsBySegment.get(segment) ?? new Set();
	}

	/** Returns true if an upstream ran a prompt of this gateway with a segment so recently that other evidence is needed to hold it back. */
	isProvenLately(segment: string): boolean {
		return isRecentlyServed(this.#parts.ledger.segmentProofs, segment, this.#parts.clock.now());
	}

	/** Updates the crashes that count against segments after the ledger has changed. */
	refresh(): void {
		this.#runsBySegment = new Map([...getSegmentCrashes(this.#parts.ledger)].map(([segment, {runs}]) => [segment, runs]));
	}

	/**
	 * Records that an upstream runs a prompt with these segments. Returns those that are suspected or quarantined, which the leader should learn.
	 * @param isSuspected - Returns true if the leader suspects a segment.
	 */
	noteProven(segments: readonly string[], isSuspected: (segment: string) => boolean): string[] {
		const {ledger, clock} = this.#parts;
		const news = segments.filter(segment => this.#runsBySegment.has(segment) || isSuspected(segment) || this.#isQuarantined(segment));
		mutateProvenSegments(ledger, segments, clock.now());
		if (news.length > 0) {
			this.refresh();
		}

		return news;
	}

	/** Applies the leader's quarantine of a set; returns true if it is new. */
	apply({fingerprint, segments, remainingMs}: QuarantinedRequest): boolean {
		const id = decodeFingerprint(fingerprint);
		this.#parts.ledger.quarantinedSegments.set(id, segments.map(segment => decodeFingerprint(segment)));
		return this.#quarantine(id, remainingMs, 'leader');
	}

	/** Returns the segments of a quarantined set that an upstream ran for this gateway after the last crash that the leader counted against them. */
	getProvenSince({segments, crashedAgoMs}: QuarantinedRequest): string[] {
		const crashedAt = this.#parts.clock.now() - crashedAgoMs;
		return segments.map(segment => decodeFingerprint(segment)).filter(segment => (this.#parts.ledger.segmentProofs.get(segment) ?? Number.NEGATIVE_INFINITY) > crashedAt);
	}

	/** Quarantines sets from the crashes that this gateway observed, and returns their ids. */
	decide(): string[] {
		const ids = mutateQuarantinedSegments(this.#parts.ledger, this.#parts.clock.now());
		for (const id of ids) {
			this.#quarantine(id, QUARANTINE_MS, 'own');
		}

		return ids;
	}

	/** Ends the quarantine of a set; returns true if the set was quarantined. */
	release(id: string, isHalfOpen: boolean): boolean {
		mutateReleasedSegments(this.#parts.ledger, id, isHalfOpen, this.#parts.clock.now());
		this.refresh();
		return this.#until.delete(id);
	}

	/** Revokes a decision of this gateway that the leader did not confirm; returns true if there was one. The crashes still count. */
	revoke(id: string): boolean {
		this.#parts.ledger.quarantinedSegments.delete(id);
		this.refresh();
		return this.#until.delete(id);
	}

	/** Ends the quarantines whose time is over, and returns the ids of their sets. */
	expire(now: number): string[] {
		const expired = [...this.#until].filter(([, until]) => now >= until).map(([id]) => id);
		for (const id of expired) {
			this.release(id, true);
		}

		return expired;
	}

	#isQuarantined(segment: string): boolean {
		return [...this.#until.keys()].some(id => this.#parts.ledger.quarantinedSegments.get(id)?.includes(segment));
	}

	#quarantine(id: string, remainingMs: number, source: DecisionSource): boolean {
		const {clock, logger, ledger} = this.#parts;
		const isNew = !this.#until.has(id);
		this.#until.set(id, clock.now() + remainingMs);
		if (isNew) {
			this.refresh();
			const segments = ledger.quarantinedSegments.get(id) ?? [];
			logger.warn({
				event: 'segments-quarantined',
				quarantine: id,
				segments,
				source,
				remainingMs: Math.round(remainingMs),
				upstreams: getSegmentSetRuns(ledger, segments).slice(-MAX_LOGGED_RUNS),
			}, 'requests with certain prompt segments are kept from upstreams');
		}

		return isNew;
	}
}
