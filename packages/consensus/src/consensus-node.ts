import {
	type Clock, type SuspensionWatch, type TimerService, type TimerSubscription, RESULT_CODE, ValeleadError,
} from '@valelead/common';
import {getLastIndex} from './get-last-index.js';
import {getLeaseEnd} from './get-lease-end.js';
import {getTermAt} from './get-term-at.js';
import {getReducedVoters} from './get-reduced-voters.js';
import {getTransferTarget} from './get-transfer-target.js';
import {isAskingToJoin} from './is-asking-to-join.js';
import {isGrowing} from './is-growing.js';
import {isPersistEffect} from './is-persist-effect.js';
import {mutateConsensus} from './mutate-consensus.js';
import {newConsensusState} from './new-consensus-state.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusEvent} from './consensus-event.js';
import type {ConsensusMessage} from './consensus-message.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';
import type {ConsensusTransport} from './consensus-transport.js';
import type {MessageTarget} from './message-target.js';
import type {LogStorage} from './log-storage.js';
import type {QuorumView} from './quorum-view.js';
import type {StateMachine} from './state-machine.js';
import type {StoredLog} from './stored-log.js';
import type {PersistEffect} from './persist-effect.js';
import type {Voter} from './voter.js';

type NodeParts = {
	readonly settings: ConsensusSettings;
	readonly clock: Clock;
	/** Tells when the process was last suspended. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt'>;
	/** When this process started, in monotonic milliseconds; an earlier run on the same disk had ended by then. */
	readonly processStartedAt: number;
	readonly timers: TimerService;
	readonly storage: LogStorage;
	readonly transport: ConsensusTransport;
	readonly machine: StateMachine;
	readonly onFailure: (error: ValeleadError) => void;
	/** The process was suspended, or its time of day was set forward. */
	readonly onResumed?: () => void;
	/** A write to the disk failed and is tried again. */
	readonly onStorageRetry?: (error: Error) => void;
	/** Log entries after which a snapshot is taken. */
	readonly snapshotEvery: number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
};

type PendingProposal = {
	readonly resolve: (index: number) => void;
	readonly reject: (error: ValeleadError) => void;
};

const MIN_TICK_MS = 25;

/** Ticks in a heartbeat; the resolution of elections and heartbeats. */
const TICKS_PER_HEARTBEAT = 4;

/** A disk that refuses writes, such as a full one, is tried again for this long before the voter gives up. */
const STORAGE_RETRY_LIMIT_MS = 30_000;
const STORAGE_RETRY_MS = 200;

/** Runs one voter: feeds its state with events and carries out the effects, syncing before answering. */
export class ConsensusNode {
	readonly #parts: NodeParts;
	readonly #state: ConsensusState;
	readonly #proposals = new Map<string, PendingProposal>();
	readonly #senders = new Map<string, MessageTarget>();
	/** When a member was last heard, by its id. */
	readonly #lastReceivedAt = new Map<string, number>();
	#pendingEffects: ConsensusEffect[] = [];
	#flushing: Promise<void> | undefined;
	#isStopped = false;
	#nextProposal = 1;
	/** The last entry that the state machine has taken; it follows the commit index after the disk. */
	#machineAppliedIndex = 0;
	/** The highest index that a leader has told to be committed since this process started. */
	#receivedCommitIndex = 0;
	#isInformed = false;
	#resumedAt = Number.NEGATIVE_INFINITY;
	#ticks: TimerSubscription | undefined;

	constructor(stored: StoredLog, parts: NodeParts) {
		this.#parts = parts;
		this.#state = newConsensusState(stored, parts.settings, parts.processStartedAt, parts.random());
		if (stored.snapshot.data !== '') {
			parts.machine.restore(stored.snapshot.index, stored.snapshot.data);
			this.#machineAppliedIndex = stored.snapshot.index;
		}
	}

	start(): void {
		const {heartbeatMs} = this.#parts.settings;
		this.#ticks = this.#parts.timers.repeat(Math.max(MIN_TICK_MS, heartbeatMs / TICKS_PER_HEARTBEAT), () => {
			this.#handle({kind: 'tick', jitter: this.#parts.random()});
		});
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#ticks?.cancel();
		await this.#flushing;
		await this.#parts.storage.close();
	}

	get id(): string {
		return this.#state.selfId;
	}

	get term(): number {
		return this.#state.term;
	}

	/** The term in which an entry was proposed; undefined where the log does not hold it any more. */
	getTermAt(index: number): number | undefined {
		return getTermAt(this.#state, index);
	}

	get commitIndex(): number {
		return this.#state.commitIndex;
	}

	get voters(): readonly Voter[] {
		return this.#state.voters;
	}

	get formation(): readonly Voter[] {
		return this.#state.snapshot.voters.length > 0 ? this.#state.snapshot.voters : this.#state.voters;
	}

	get leader(): Voter | undefined {
		return this.#state.voters.find(voter => voter.id === this.#state.leaderId);
	}

	/** Whether this voter has no vote, or may have none any more, and should ask to be let in. */
	get isAskingToJoin(): boolean {
		return isAskingToJoin(this.#state, this.#parts.settings, this.#parts.clock.now());
	}

	get isLeader(): boolean {
		return this.#state.role === 'leader';
	}

	/** Whether this voter leads, holds its lease, and has applied everything that earlier leaders committed. */
	get isCurrentLeader(): boolean {
		this.#checkSuspension();
		const now = this.#parts.clock.now();
		const hasLease = now < getLeaseEnd(this.#state, this.#parts.settings, now);
		return hasLease && this.#hasOwnCommit();
	}

	/** Whether the state machine holds everything that any leader has acknowledged: a read now is linearizable. */
	get canRead(): boolean {
		return this.isCurrentLeader && this.#machineAppliedIndex >= this.#state.appliedIndex;
	}

	/**
	 * Whether the state machine holds what was acknowledged before this process started, as far as the leaders that it heard since know: it has taken an
	 * entry of the current term, behind which all earlier ones are, and all that was told to be committed. Later states only grow.
	 */
	get isInformed(): boolean {
		return this.#isInformed;
	}

	/** Takes a message. The sender's address is kept for the answer, as it may not be a known voter yet. */
	receive(from: MessageTarget, message: ConsensusMessage): void {
		this.#senders.set(from.id, from);
		this.#lastReceivedAt.set(from.id, this.#parts.clock.now());
		this.#receivedCommitIndex = message.kind === 'appendRequest' ? Math.max(this.#receivedCommitIndex, message.commitIndex) : this.#receivedCommitIndex;
		this.#handle({kind: 'message', from: from.id, message});
	}

	/** Resolves with the index when the command is committed and applied. */
	async propose(data: string): Promise<number> {
		return this.#propose(proposalId => ({kind: 'propose', proposalId, data}));
	}

	async configure(voters: readonly Voter[]): Promise<number> {
		return this.#propose(proposalId => ({kind: 'configure', proposalId, voters}));
	}

	/** Hands leadership to the voter that has followed furthest among those that are heard. */
	transfer(): void {
		const target = getTransferTarget(this.#state, this.#parts.settings, this.#parts.clock.now());
		if (target) {
			this.#handle({kind: 'transfer', to: target.id});
		}
	}

	/** The voters without one that was silent for too long, where they are better off without it and not fewer than the least number. */
	getReducedVoters(silenceMs: number, leastVoters: number): readonly Voter[] | undefined {
		return this.isCurrentLeader ? getReducedVoters(this.#state, silenceMs, this.#parts.clock.now(), leastVoters) : undefined;
	}

	/** Whether this leader has fewer voters than the least number, and others joined within the growth time. */
	isGrowing(leastVoters: number, growthMs: number): boolean {
		return isGrowing(this.#state, leastVoters, growthMs, this.#parts.clock.now());
	}

	/** @param silenceMs - A member that said nothing for longer does not count as heard. */
	getView(silenceMs: number): QuorumView {
		const {selfId, term} = this.#state;
		const now = this.#parts.clock.now();
		const voters = this.#state.voters.filter(voter => !voter.isLearner);
		const heard = voters.filter(({id}) => id === selfId || now - (this.#lastReceivedAt.get(id) ?? Number.NEGATIVE_INFINITY) <= silenceMs);
		return {
			voters, heard, term, leader: this.leader, isLeader: this.isLeader,
		};
	}

	/** Whether a member holds everything that is committed. */
	isCaughtUp(id: string): boolean {
		return this.#getMatch(id) >= this.#state.commitIndex;
	}

	#getMatch(id: string): number {
		return this.#state.peers.get(id)?.matchIndex ?? 0;
	}

	#hasOwnCommit(): boolean {
		const {snapshot, log, commitIndex, term} = this.#state;
		const entry = log[commitIndex - snapshot.index - 1];
		return (entry?.term ?? snapshot.term) === term;
	}

	async #propose(newEvent: (proposalId: string) => ConsensusEvent): Promise<number> {
		const proposalId = String(this.#nextProposal);
		this.#nextProposal += 1;
		return new Promise((resolve, reject) => {
			this.#proposals.set(proposalId, {resolve, reject});
			this.#handle(newEvent(proposalId));
		});
	}

	/** Takes that the process was suspended before anything is decided on what it held. */
	#checkSuspension(): void {
		const {resumedAt} = this.#parts.suspensions;
		if (resumedAt > this.#resumedAt) {
			this.#resumedAt = resumedAt;
			this.#parts.onResumed?.();
			this.#mutate({kind: 'resumed'});
		}
	}

	#handle(event: ConsensusEvent): void {
		this.#checkSuspension();
		this.#mutate(event);
	}

	#mutate(event: ConsensusEvent): void {
		if (this.#isStopped) {
			return;
		}

		const effects = mutateConsensus(this.#state, this.#parts.settings, event, this.#parts.clock.now());
		if (effects.length === 0) {
			return;
		}

		this.#pendingEffects.push(...effects);
		this.#flushing ??= this.#flush();
	}

	async #flush(): Promise<void> {
		try {
			while (this.#pendingEffects.length > 0 && !this.#isStopped) {
				const batch = this.#pendingEffects;
				this.#pendingEffects = [];
				await this.#persist(batch);
				for (const effect of batch) {
					this.#execute(effect);
				}

				this.#compact();
			}
		} catch (error) {
			this.#isStopped = true;
			this.#ticks?.cancel();
			this.#parts.onFailure(new ValeleadError(`Storage failed: ${String(error)}`, {code: RESULT_CODE.StorageFailed}));
		} finally {
			this.#flushing = undefined;
		}
	}

	async #persist(batch: readonly ConsensusEffect[]): Promise<void> {
		const effects = batch.filter(effect => isPersistEffect(effect));
		if (effects.length === 0) {
			return;
		}

		await this.#persistWithRetries(effects);
		const entry = effects.flatMap(effect => effect.kind === 'persistHardState' ? [] : effect.entries).at(-1);
		if (entry) {
			this.#handle({kind: 'synced', index: entry.index, term: entry.term});
		}
	}

	/** Nothing that depends on the batch is sent before it is stored, so a voter whose disk refuses writes falls silent. */
	async #persistWithRetries(effects: readonly PersistEffect[]): Promise<void> {
		const retriesEndAt = this.#parts.clock.now() + STORAGE_RETRY_LIMIT_MS;
		for (;;) {
			try {
				await this.#parts.storage.persist(effects);
				return;
			} catch (error) {
				if (this.#isStopped || this.#parts.clock.now() >= retriesEndAt) {
					throw error;
				}

				this.#parts.onStorageRetry?.(error as Error);
				await this.#parts.timers.wait(STORAGE_RETRY_MS);
			}
		}
	}

	#execute(effect: ConsensusEffect): void {
		switch (effect.kind) {
			case 'send': {
				const to = this.#state.voters.find(voter => voter.id === effect.to) ?? this.#senders.get(effect.to);
				if (to) {
					this.#parts.transport.send(this.#state.selfId, to, effect.message);
				}

				break;
			}

			case 'apply': {
				if (effect.entry.kind === 'command') {
					this.#parts.machine.apply(effect.entry.index, effect.entry.data);
				}

				this.#machineAppliedIndex = effect.entry.index;
				this.#isInformed ||= effect.entry.term === this.#state.term && effect.entry.index >= this.#receivedCommitIndex;

				break;
			}

			case 'restore': {
				this.#parts.machine.restore(effect.snapshot.index, effect.snapshot.data);
				this.#machineAppliedIndex = effect.snapshot.index;
				break;
			}

			case 'proposalCommitted': {
				this.#proposals.get(effect.proposalId)?.resolve(effect.index);
				this.#proposals.delete(effect.proposalId);
				break;
			}

			case 'proposalRejected': {
				this.#proposals.get(effect.proposalId)?.reject(new ValeleadError('This voter does not lead', {code: RESULT_CODE.NotLeader}));
				this.#proposals.delete(effect.proposalId);
				break;
			}

			default: {
				break;
			}
		}
	}

	#compact(): void {
		const isDue = this.#state.appliedIndex - this.#state.snapshot.index >= this.#parts.snapshotEvery;
		const isSettled = this.#pendingEffects.every(effect => effect.kind !== 'apply');
		if (isDue && isSettled && getLastIndex(this.#state) > 0) {
			this.#handle({kind: 'compact', index: this.#state.appliedIndex, data: this.#parts.machine.save()});
		}
	}
}
