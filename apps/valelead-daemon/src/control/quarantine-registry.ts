import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {RESULT_CODE, type Clock, type TimerService} from '@valelead/common';
import type {Command} from '@valelead/intent';
import {type FollowerReport, type QuarantineList, QuarantineListSchema} from '@valelead/protocol';
import {
	type CrashLedger,
	QUARANTINE_MS,
	getCrashScore,
	getCrashEvidence,
	getPausedRequests,
	getSegmentSetRuns,
	getSuspectedRequests,
	getSuspectedSegments,
	isQuarantineUnfounded,
	isSegmentQuarantineUnfounded,
	mutateExpiredCrashes,
	mutateProvenSegments,
	mutateQuarantinedRequests,
	mutateQuarantinedSegments,
	mutateReleasedRequest,
	mutateReleasedSegments,
	mutateServedRequest,
} from '@valelead/quarantine';
import type {Logger} from 'pino';
import {decodeCrash} from '../follower/decode-crash.js';
import {decodeFingerprint} from '../follower/decode-fingerprint.js';
import {CrashCollector} from './crash-collector.js';
import type {QuarantineLog} from './quarantine-log.js';

type RegistryParts = {
	readonly voter: QuarantineLog;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Returns the number of crashes from which a request is paused while gateways are absent; undefined if no gateway is absent. */
	readonly getPauseThreshold: () => number | undefined;
	/** Called when the list changes in a way that must be sent to gateways immediately. */
	readonly onChange: () => void;
};

/** A decision of the current term to quarantine a request or a set of prompt segments. */
type Decision = {
	/** Time of the decision, in monotonic milliseconds. */
	readonly at: number;
	/** Resolves once the decision is committed or refused. */
	readonly proposed: Promise<void>;
};

type CrashReport = Pick<FollowerReport, 'vm' | 'crashes' | 'served'>;

type CachedList = {
	readonly list: QuarantineList | undefined;
	readonly version: number;
	readonly at: number;
};

/** Interval at which expired quarantines are released, in milliseconds. */
const EXPIRY_CHECK_MS = 1000;

/** Maximum age of the list that is shared by all gateways, in milliseconds. The remaining time of a quarantine is accurate to this time. */
const LIST_CACHE_MS = 1000;

/** Time for which a released request stays on the list, in milliseconds. Followers that return from a short network partition still receive it. */
const RELEASED_LISTED_MS = 60_000;

/**
 * Time within which a quarantine decision can be revoked because its evidence became weaker, in milliseconds. Gateways that were suspended or
 * partitioned have reported their crashes by then, and none of the crashes behind the decision has been removed from the ledger.
 */
const REVOCATION_WINDOW_MS = 60_000;

/** Maximum number of request fingerprints in one log line. */
const MAX_LOGGED_FINGERPRINTS = 8;

/** Maximum number of run ids in one log line. */
const MAX_LOGGED_RUNS = 12;

const toBytes = (fingerprint: string): Uint8Array => Buffer.from(fingerprint, 'hex');

/**
 * Decides from the crash reports of all gateways which requests crash upstreams, and quarantines them. Runs on the leader. Decisions are
 * committed to the replicated log, so they survive the loss of any process. Their evidence is not replicated: gateways report it again after a
 * change of leader.
 */
export class QuarantineRegistry {
	readonly #parts: RegistryParts;
	readonly #collector: CrashCollector;
	#term = -1;
	#version = 1;
	/** Time at which this voter learned of each quarantine, in monotonic milliseconds, by fingerprint. */
	readonly #quarantinedAt = new Map<string, number>();
	/** Time at which each released request was released, in monotonic milliseconds, by fingerprint. */
	readonly #released = new Map<string, number>();
	/** Fingerprints of quarantines whose time is over and whose release this voter has proposed. */
	readonly #expiring = new Set<string>();
	/** The list that was built last, with its version and time. */
	#cachedList: CachedList = {list: undefined, version: 0, at: 0};
	/** Suspected requests in the current version of the list. */
	#suspected: readonly string[] = [];
	/** Requests that the current version of the list holds back while gateways are absent. */
	#paused: readonly string[] = [];
	/** Decisions of the current term that have not been revoked, by fingerprint. */
	readonly #decisions = new Map<string, Decision>();
	/** Fingerprints of the committed quarantines that this voter has applied. */
	#committed: ReadonlySet<string> = new Set();

	constructor(parts: RegistryParts) {
		this.#parts = parts;
		this.#collector = new CrashCollector({
			...parts,
			onCrash: (vm, runId) => {
				this.#logCrash(vm, runId);
			},
			onComplete: fingerprints => {
				this.#quarantineIfLeading(fingerprints);
			},
		});
	}

	/** Version of the list. Increases with each change of the list. */
	get version(): number {
		return this.#version;
	}

	start(): void {
		this.#applyCommitted();
		this.#parts.voter.machine.subscribe(() => {
			this.#applyCommitted();
		});
		this.#parts.timers.repeat(EXPIRY_CHECK_MS, now => {
			this.#expire(now);
		});
	}

	/** Processes the crashes and the answered suspected requests in a gateway's report. */
	note({vm, crashes, served}: CrashReport): void {
		this.#checkTerm();
		const changed = this.#collector.addReport(vm, crashes.map(message => decodeCrash(message)));
		for (const fingerprint of served) {
			this.#clearAnswered(decodeFingerprint(fingerprint));
		}

		if (changed.size > 0 || served.length > 0) {
			// A revoked request no longer explains its crashes, so the other requests at these crashes are evaluated again.
			this.#quarantineSuspects(this.#revokeUnproven() ? [...this.#ledger.runsBySuspect.keys()] : [...changed]);
		}
	}

	/** Updates the paused requests after gateways have become absent or have returned. */
	refreshPaused(): void {
		this.#checkTerm();
		if (this.#updatePaused()) {
			this.#publishChange();
		}
	}

	/** Returns the quarantine list for gateways. */
	getList(): QuarantineList {
		const now = this.#parts.clock.now();
		const {list, version, at} = this.#cachedList;
		if (list && version === this.#version && now - at < LIST_CACHE_MS) {
			return list;
		}

		const newList = this.#newList(now);
		this.#cachedList = {list: newList, version: this.#version, at: now};
		return newList;
	}

	get #ledger(): CrashLedger {
		return this.#collector.ledger;
	}

	/** Quarantines requests from a timer callback, if this voter is still the leader. */
	#quarantineIfLeading(fingerprints: readonly string[]): void {
		if (this.#parts.voter.node?.isCurrentLeader) {
			this.#quarantineSuspects(fingerprints);
		}
	}

	#newList(now: number): QuarantineList {
		const {quarantines} = this.#parts.voter.machine.intent;
		const names = new Set([...quarantines.keys(), ...this.#ledger.quarantined, ...this.#ledger.quarantinedSegments.keys()]);
		return create(QuarantineListSchema, {
			version: this.#version,
			quarantined: [...names].map(name => {
				const segments = quarantines.get(name)?.segments ?? this.#ledger.quarantinedSegments.get(name) ?? [];
				return {
					fingerprint: toBytes(name),
					remainingMs: Math.max(0, (this.#quarantinedAt.get(name) ?? now) + QUARANTINE_MS - now),
					segments: segments.map(segment => toBytes(segment)),
					crashedAgoMs: this.#getCrashAgeMs(segments, now),
				};
			}),
			suspected: this.#getSuspected().map(fingerprint => toBytes(fingerprint)),
			released: [...this.#released.keys()].map(fingerprint => toBytes(fingerprint)),
			paused: this.#paused.map(fingerprint => toBytes(fingerprint)),
		});
	}

	/** Returns the fingerprints of the requests and prompt segments that are suspected but not quarantined. */
	#getSuspected(): string[] {
		return [...getSuspectedRequests(this.#ledger), ...getSuspectedSegments(this.#ledger, this.#parts.clock.now())];
	}

	/** Returns the time since the last crash that counts against a set of segments, in milliseconds; 0 if this leader knows of none. */
	#getCrashAgeMs(segments: readonly string[], now: number): number {
		const times = segments.length === 0 ? [] : getSegmentSetRuns(this.#ledger, segments).map(runId => this.#ledger.crashes.get(runId)!.at);
		return times.length === 0 ? 0 : now - Math.max(...times);
	}

	/** Clears a prompt segment that an upstream has run, and revokes the quarantines of the sets with it; the other segments are evaluated again. */
	#clearSegment(segment: string): void {
		mutateProvenSegments(this.#ledger, [segment], this.#parts.clock.now());
		const names = [...this.#ledger.quarantinedSegments].filter(([name, segments]) => segments.includes(segment) && !this.#expiring.has(name)).map(([name]) => name);
		for (const name of names) {
			this.#logSegments('segments-released', name, 'releasing prompt segments: an upstream ran a request with one of them');
			this.#ledger.quarantinedSegments.delete(name);
			void this.#revoke(name);
		}
	}

	/** Clears a request that an upstream has answered completely, as such a request crashes no upstream, and revokes its quarantine. */
	#clearAnswered(fingerprint: string): void {
		this.#clearSegment(fingerprint);
		const wasBlamed = mutateServedRequest(this.#ledger, fingerprint, this.#parts.clock.now());
		if ((this.#committed.has(fingerprint) || this.#decisions.has(fingerprint)) && !this.#expiring.has(fingerprint)) {
			this.#parts.logger.warn({event: 'quarantine-revised', fingerprint}, 'releasing a quarantined request: an upstream answered it completely');
			void this.#revoke(fingerprint);
		}

		if (wasBlamed) {
			this.#parts.logger.info({event: 'request-cleared', fingerprint}, 'cleared a suspected request: an upstream answered it completely');
			this.#publishChange();
		}
	}

	#quarantineSuspects(fingerprints: readonly string[]): void {
		const now = this.#parts.clock.now();
		const quarantined = mutateQuarantinedRequests(this.#ledger, fingerprints);
		for (const fingerprint of quarantined) {
			this.#logEvidence('request-quarantined', fingerprint, 'quarantined a request that crashed upstreams');
			this.#proposeQuarantine(fingerprint, [...this.#ledger.runsBySuspect.get(fingerprint) ?? []]);
		}

		const segmentSets = mutateQuarantinedSegments(this.#ledger, now);
		for (const name of segmentSets) {
			const segments = this.#ledger.quarantinedSegments.get(name)!;
			this.#logSegments('segments-quarantined', name, 'quarantined prompt segments that crashed upstreams');
			this.#proposeQuarantine(name, getSegmentSetRuns(this.#ledger, segments), segments);
		}

		// Gateways must confirm each version of the list, so the version changes only if the content does.
		const suspected = this.#getSuspected();
		const isPausedChanged = this.#updatePaused();
		if (quarantined.length + segmentSets.length > 0 || isPausedChanged || suspected.join(',') !== this.#suspected.join(',')) {
			this.#suspected = suspected;
			this.#publishChange();
		}
	}

	#proposeQuarantine(name: string, upstreams: readonly string[], segments?: readonly string[]): void {
		const now = this.#parts.clock.now();
		this.#quarantinedAt.set(name, now);
		this.#released.delete(name);
		const proposed = this.#propose({
			kind: 'quarantineRequest', name, ...(segments && {segments}), upstreams, judgedAt: this.#parts.clock.wallNow(),
		});
		this.#decisions.set(name, {at: now, proposed});
	}

	/** Updates the requests that are held back while gateways are absent. Returns true if they changed. */
	#updatePaused(): boolean {
		const leastCrashes = this.#parts.getPauseThreshold();
		const paused = leastCrashes === undefined ? [] : getPausedRequests(this.#ledger, leastCrashes);
		if (paused.join(',') === this.#paused.join(',')) {
			return false;
		}

		this.#paused = paused;
		this.#parts.logger.info(
			{
				event: 'requests-paused', count: paused.length, leastCrashes, fingerprints: paused.slice(0, MAX_LOGGED_FINGERPRINTS),
			},
			'the set of requests paused while gateways are absent has changed',
		);
		return true;
	}

	/**
	 * Revokes the decisions of the current term that later reports no longer support. Decisions can rest on incomplete evidence, since gateways
	 * report one after another and report all their crashes again to a new leader. Returns true if a decision was revoked.
	 */
	#revokeUnproven(): boolean {
		let isAnyRevoked = false;
		const now = this.#parts.clock.now();
		for (const [fingerprint, {at}] of this.#decisions) {
			const isUnfounded = isQuarantineUnfounded(this.#ledger, fingerprint) || isSegmentQuarantineUnfounded(this.#ledger, fingerprint);
			if (now - at < REVOCATION_WINDOW_MS && isUnfounded) {
				this.#logEvidence('quarantine-revised', fingerprint, 'releasing a quarantined request: later crash reports weakened the evidence');
				this.#ledger.quarantined.delete(fingerprint);
				this.#ledger.quarantinedSegments.delete(fingerprint);
				void this.#revoke(fingerprint);
				isAnyRevoked = true;
			}
		}

		return isAnyRevoked;
	}

	async #revoke(fingerprint: string): Promise<void> {
		await this.#decisions.get(fingerprint)?.proposed;
		this.#decisions.delete(fingerprint);
		await this.#propose({kind: 'releaseRequest', name: fingerprint});
	}

	/** Applies the committed quarantines and releases, including the releases made by an operator. */
	#applyCommitted(): void {
		const {quarantines} = this.#parts.voter.machine.intent;
		const now = this.#parts.clock.now();
		const known = [...this.#quarantinedAt.keys()];
		for (const fingerprint of quarantines.keys()) {
			if (!this.#quarantinedAt.has(fingerprint)) {
				this.#quarantinedAt.set(fingerprint, now);
				this.#released.delete(fingerprint);
				this.#restore(fingerprint);
				this.#version += 1;
			}
		}

		for (const fingerprint of known) {
			const isListed = this.#ledger.quarantined.has(fingerprint) || this.#ledger.quarantinedSegments.has(fingerprint);
			const isPending = isListed && !this.#committed.has(fingerprint);
			if (!quarantines.has(fingerprint) && !isPending) {
				this.#release(fingerprint, now);
			}
		}

		this.#committed = new Set(quarantines.keys());
	}

	/** Adds a committed quarantine to the ledger, so that it explains crashes. */
	#restore(name: string): void {
		const segments = this.#parts.voter.machine.intent.quarantines.get(name)?.segments;
		if (segments) {
			this.#ledger.quarantinedSegments.set(name, segments);
		} else {
			this.#ledger.quarantined.add(name);
		}
	}

	#release(fingerprint: string, now: number): void {
		const isExpired = this.#expiring.delete(fingerprint);
		this.#decisions.delete(fingerprint);
		this.#quarantinedAt.delete(fingerprint);
		mutateReleasedRequest(this.#ledger, fingerprint, isExpired);
		mutateReleasedSegments(this.#ledger, fingerprint, isExpired, now);
		this.#released.set(fingerprint, now);
		this.#parts.logger.info({event: 'request-released', fingerprint, isExpired}, 'quarantine of a request ended');
		this.#publishChange();
	}

	#expire(now: number): void {
		for (const [fingerprint, at] of this.#released) {
			if (now - at > RELEASED_LISTED_MS) {
				this.#released.delete(fingerprint);
			}
		}

		mutateExpiredCrashes(this.#ledger, now);
		if (!this.#parts.voter.node?.isCurrentLeader) {
			return;
		}

		this.#checkTerm();
		for (const [fingerprint, since] of this.#quarantinedAt) {
			if (now - since > QUARANTINE_MS && this.#committed.has(fingerprint) && !this.#expiring.has(fingerprint)) {
				this.#expiring.add(fingerprint);
				void this.#propose({kind: 'releaseRequest', name: fingerprint});
			}
		}
	}

	async #propose(command: Command): Promise<void> {
		const {voter, logger} = this.#parts;
		try {
			const {code, message} = await voter.propose({commandId: '', commands: [command]});
			if (code !== RESULT_CODE.Ok) {
				logger.warn({
					event: 'quarantine-refused', command: command.kind, code, reason: message,
				}, 'quarantine command was refused');
			}
		} catch (error) {
			logger.warn({event: 'quarantine-not-committed', command: command.kind, reason: (error as Error).message}, 'quarantine command was not committed');
		}
	}

	/** Discards the evidence when the term changes: another leader may have received more, and gateways report their crashes again. */
	#checkTerm(): void {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#collector.startTerm();
			for (const fingerprint of this.#committed) {
				this.#restore(fingerprint);
			}

			this.#expiring.clear();
			this.#decisions.clear();
			this.#publishChange();
		}
	}

	#logEvidence(event: string, fingerprint: string, message: string): void {
		const upstreams = [...this.#ledger.runsBySuspect.get(fingerprint) ?? []];
		const evidence = getCrashEvidence(this.#ledger, fingerprint, this.#parts.clock.now());
		this.#parts.logger.warn({
			event, fingerprint, upstreams, blame: getCrashScore(this.#ledger, fingerprint), evidence,
		}, message);
	}

	#logSegments(event: string, name: string, message: string): void {
		const segments = this.#ledger.quarantinedSegments.get(name) ?? [];
		this.#parts.logger.warn({
			event, quarantine: name, segments, upstreams: getSegmentSetRuns(this.#ledger, segments).slice(-MAX_LOGGED_RUNS),
		}, message);
	}

	#logCrash(vm: string, runId: string): void {
		const record = this.#ledger.crashes.get(runId);
		const suspectedSegments = getSuspectedSegments(this.#ledger, this.#parts.clock.now()).slice(0, MAX_LOGGED_FINGERPRINTS);
		this.#parts.logger.info({
			event: 'crash-noted', vm, upstreamId: runId, suspects: record?.suspects.size, crashes: this.#ledger.crashes.size, suspectedSegments,
		}, 'gateway reported an upstream crash');
	}

	#publishChange(): void {
		this.#version += 1;
		this.#parts.onChange();
	}
}
