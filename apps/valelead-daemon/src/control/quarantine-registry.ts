import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {RESULT_CODE, type Clock, type TimerService} from '@valelead/common';
import type {Command} from '@valelead/intent';
import {type FollowerReport, type QuarantineList, QuarantineListSchema} from '@valelead/protocol';
import {
	type CrashLedger, QUARANTINE_MS, getBlame, getEvidence, getPaused, getSuspected, isUnproven, mutateOldCrashes, mutateReleased, mutateServed, mutateQuarantined,
} from '@valelead/quarantine';
import type {Logger} from 'pino';
import {decodeCrash} from '../follower/decode-crash.js';
import {CrashCollector} from './crash-collector.js';
import type {QuarantineLog} from './quarantine-log.js';

type RegistryParts = {
	readonly voter: QuarantineLog;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** The crashes from which a request is kept back while gateways are away; undefined where none is. */
	readonly getPausedCrashes: () => number | undefined;
	/** Hears of changes that gateways must learn at once. */
	readonly onChange: () => void;
};

/** A judgement of this leadership. */
type Judgement = {
	/** In monotonic milliseconds. */
	readonly at: number;
	/** Resolves once it is committed or refused. */
	readonly proposed: Promise<void>;
};

type CrashNews = Pick<FollowerReport, 'vm' | 'crashes' | 'served'>;

type MadeList = {
	readonly list: QuarantineList | undefined;
	readonly version: number;
	readonly at: number;
};

const EXPIRY_MS = 1000;

/** The list is made once for all gateways and not older than this when it is sent, in milliseconds; the rest of a quarantine is told that exactly. */
const LIST_MS = 1000;

/** How long followers are told that a request is released, in milliseconds: some heartbeats of one that is cut off for a while. */
const RELEASED_TOLD_MS = 60_000;

/**
 * A judgement may be taken back for less blame within this time, in milliseconds: gateways that were suspended or cut off have told their crashes by then,
 * and none that it rests on has been forgotten.
 */
const REVISED_MS = 60_000;

/** Requests that one line of the log names. */
const MAX_LOGGED = 8;

const toBytes = (fingerprint: string): Uint8Array => Buffer.from(fingerprint, 'hex');

/**
 * Judges, as the leader, which requests crash upstreams, from what all gateways tell. Judgements are committed, so that they outlive every process;
 * what they rest on is told anew by the gateways after a change of leader.
 */
export class QuarantineRegistry {
	readonly #parts: RegistryParts;
	readonly #intake: CrashCollector;
	#term = -1;
	#version = 1;
	/** Since when this voter knows of each quarantine, in monotonic milliseconds. */
	readonly #knownSince = new Map<string, number>();
	/** Requests that were released, and when. */
	readonly #released = new Map<string, number>();
	/** Quarantines that this voter ends as their time is over. */
	readonly #expiring = new Set<string>();
	/** The list that was made last. */
	#made: MadeList = {list: undefined, version: 0, at: 0};
	/** The suspected requests when the list last changed for them. */
	#suspected: readonly string[] = [];
	/** The requests that are kept back while gateways are away, when the list last changed for them. */
	#paused: readonly string[] = [];
	/** Judgements of this leadership that were not taken back. */
	readonly #judged = new Map<string, Judgement>();
	/** The committed quarantines that this voter has taken. */
	#committed: ReadonlySet<string> = new Set();

	constructor(parts: RegistryParts) {
		this.#parts = parts;
		this.#intake = new CrashCollector({
			...parts,
			onCrash: (vm, runId) => {
				this.#logCrash(vm, runId);
			},
			onSettled: fingerprints => {
				this.#judge(fingerprints);
			},
		});
	}

	/** Rises with each change of the list. */
	get version(): number {
		return this.#version;
	}

	start(): void {
		this.#takeCommitted();
		this.#parts.voter.machine.subscribe(() => {
			this.#takeCommitted();
		});
		this.#parts.timers.repeat(EXPIRY_MS, now => {
			this.#expire(now);
		});
	}

	/** Takes what a gateway tells of crashes, and of suspected requests that were answered. */
	note({vm, crashes, served}: CrashNews): void {
		this.#checkTerm();
		const news = this.#intake.note(vm, crashes.map(message => decodeCrash(message)));
		for (const fingerprint of served) {
			this.#clear(Buffer.from(fingerprint).toString('hex'));
		}

		if (news.size > 0) {
			// What is taken back no longer explains the crashes, so its neighbours there are judged anew.
			this.#quarantineBlamed(this.#revise() ? [...this.#ledger.runsBySuspect.keys()] : [...news]);
		}
	}

	/** Takes that gateways have left or come back. */
	notePaused(): void {
		this.#checkTerm();
		if (this.#takePaused()) {
			this.#change();
		}
	}

	/** All that a gateway has to know. */
	getList(): QuarantineList {
		const now = this.#parts.clock.now();
		const {list, version, at} = this.#made;
		if (list && version === this.#version && now - at < LIST_MS) {
			return list;
		}

		const made = this.#newList(now);
		this.#made = {list: made, version: this.#version, at: now};
		return made;
	}

	get #ledger(): CrashLedger {
		return this.#intake.ledger;
	}

	/** Judges by a timer; this voter may not lead any more. */
	#judge(fingerprints: readonly string[]): void {
		if (this.#parts.voter.node?.isCurrentLeader) {
			this.#quarantineBlamed(fingerprints);
		}
	}

	#newList(now: number): QuarantineList {
		const fingerprints = new Set([...this.#parts.voter.machine.intent.quarantines.keys(), ...this.#ledger.quarantined]);
		return create(QuarantineListSchema, {
			version: this.#version,
			quarantined: [...fingerprints].map(fingerprint => ({
				fingerprint: toBytes(fingerprint), remainingMs: Math.max(0, (this.#knownSince.get(fingerprint) ?? now) + QUARANTINE_MS - now),
			})),
			suspected: getSuspected(this.#ledger).map(fingerprint => toBytes(fingerprint)),
			released: [...this.#released.keys()].map(fingerprint => toBytes(fingerprint)),
			paused: this.#paused.map(fingerprint => toBytes(fingerprint)),
		});
	}

	/** A request that an upstream answered whole crashes none; a judgement that says otherwise is taken back. */
	#clear(fingerprint: string): void {
		const wasBlamed = mutateServed(this.#ledger, fingerprint, this.#parts.clock.now());
		if ((this.#committed.has(fingerprint) || this.#judged.has(fingerprint)) && !this.#expiring.has(fingerprint)) {
			this.#parts.logger.warn({event: 'quarantine-revised', fingerprint}, 'a quarantined request was answered whole, so it is released');
			void this.#takeBack(fingerprint);
		}

		if (wasBlamed) {
			this.#parts.logger.info({event: 'request-cleared', fingerprint}, 'a request that was blamed for crashes was answered whole');
			this.#change();
		}
	}

	#quarantineBlamed(fingerprints: readonly string[]): void {
		const now = this.#parts.clock.now();
		const quarantined = mutateQuarantined(this.#ledger, fingerprints);
		for (const fingerprint of quarantined) {
			const upstreams = [...this.#ledger.runsBySuspect.get(fingerprint) ?? []];
			this.#knownSince.set(fingerprint, now);
			this.#released.delete(fingerprint);
			this.#logEvidence('request-quarantined', fingerprint, 'a request under which upstreams crashed is kept from others');
			const proposed = this.#propose({
				kind: 'quarantineRequest', name: fingerprint, upstreams, judgedAt: this.#parts.clock.wallNow(),
			});
			this.#judged.set(fingerprint, {at: now, proposed});
		}

		// Gateways confirm each change of the list, so it changes with its content only.
		const suspected = getSuspected(this.#ledger);
		const isPausedNew = this.#takePaused();
		if (quarantined.length > 0 || isPausedNew || suspected.join(',') !== this.#suspected.join(',')) {
			this.#suspected = suspected;
			this.#change();
		}
	}

	/** Works out anew which requests are kept back while gateways are away; returns whether they are others than before. */
	#takePaused(): boolean {
		const leastCrashes = this.#parts.getPausedCrashes();
		const paused = leastCrashes === undefined ? [] : getPaused(this.#ledger, leastCrashes);
		if (paused.join(',') === this.#paused.join(',')) {
			return false;
		}

		this.#paused = paused;
		this.#parts.logger.info(
			{
				event: 'requests-paused', count: paused.length, leastCrashes, fingerprints: paused.slice(0, MAX_LOGGED),
			},
			'requests that had begun at crashes are kept back while gateways are away',
		);
		return true;
	}

	/**
	 * Takes judgements of this leadership back that rested on a part of what gateways saw: they tell their crashes one after the other, and a new leader
	 * hears of all of them anew. Returns whether there were any.
	 */
	#revise(): boolean {
		let isRevised = false;
		const now = this.#parts.clock.now();
		for (const [fingerprint, {at}] of this.#judged) {
			if (now - at < REVISED_MS && isUnproven(this.#ledger, fingerprint)) {
				this.#logEvidence('quarantine-revised', fingerprint, 'a quarantined request is blamed for less than before, so it is released');
				this.#ledger.quarantined.delete(fingerprint);
				void this.#takeBack(fingerprint);
				isRevised = true;
			}
		}

		return isRevised;
	}

	async #takeBack(fingerprint: string): Promise<void> {
		await this.#judged.get(fingerprint)?.proposed;
		this.#judged.delete(fingerprint);
		await this.#propose({kind: 'releaseRequest', name: fingerprint});
	}

	/** Follows the committed judgements, an operator's releases among them. */
	#takeCommitted(): void {
		const {quarantines} = this.#parts.voter.machine.intent;
		const now = this.#parts.clock.now();
		const known = [...this.#knownSince.keys()];
		for (const fingerprint of quarantines.keys()) {
			if (!this.#knownSince.has(fingerprint)) {
				this.#knownSince.set(fingerprint, now);
				this.#released.delete(fingerprint);
				this.#ledger.quarantined.add(fingerprint);
				this.#version += 1;
			}
		}

		for (const fingerprint of known) {
			const isPending = this.#ledger.quarantined.has(fingerprint) && !this.#committed.has(fingerprint);
			if (!quarantines.has(fingerprint) && !isPending) {
				this.#release(fingerprint, now);
			}
		}

		this.#committed = new Set(quarantines.keys());
	}

	#release(fingerprint: string, now: number): void {
		const isExpired = this.#expiring.delete(fingerprint);
		this.#judged.delete(fingerprint);
		this.#knownSince.delete(fingerprint);
		mutateReleased(this.#ledger, fingerprint, isExpired);
		this.#released.set(fingerprint, now);
		this.#parts.logger.info({event: 'request-released', fingerprint, isExpired}, 'a quarantined request may be sent again');
		this.#change();
	}

	#expire(now: number): void {
		for (const [fingerprint, at] of this.#released) {
			if (now - at > RELEASED_TOLD_MS) {
				this.#released.delete(fingerprint);
			}
		}

		mutateOldCrashes(this.#ledger, now);
		if (!this.#parts.voter.node?.isCurrentLeader) {
			return;
		}

		this.#checkTerm();
		for (const [fingerprint, since] of this.#knownSince) {
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
				}, 'a change of the quarantine was refused');
			}
		} catch (error) {
			logger.warn({event: 'quarantine-not-committed', command: command.kind, reason: (error as Error).message}, 'a change of the quarantine was not committed');
		}
	}

	/** What an earlier leadership heard is dropped: another leader may have heard more since, and gateways tell theirs again. */
	#checkTerm(): void {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#intake.begin();
			for (const fingerprint of this.#committed) {
				this.#ledger.quarantined.add(fingerprint);
			}

			this.#expiring.clear();
			this.#judged.clear();
			this.#change();
		}
	}

	#logEvidence(event: string, fingerprint: string, message: string): void {
		const upstreams = [...this.#ledger.runsBySuspect.get(fingerprint) ?? []];
		const evidence = getEvidence(this.#ledger, fingerprint, this.#parts.clock.now());
		this.#parts.logger.warn({
			event, fingerprint, upstreams, blame: getBlame(this.#ledger, fingerprint), evidence,
		}, message);
	}

	#logCrash(vm: string, runId: string): void {
		const record = this.#ledger.crashes.get(runId);
		this.#parts.logger.info({
			event: 'crash-noted', vm, upstreamId: runId, suspects: record?.suspects.size, crashes: this.#ledger.crashes.size,
		}, 'a gateway tells of a crashed upstream');
	}

	#change(): void {
		this.#version += 1;
		this.#parts.onChange();
	}
}
