import {
	type Clock, type SuspensionWatch, type TimerService, type TimerSubscription, RESULT_CODE, ValeleadError,
} from '@valelead/common';
import {getLastIndex} from './get-last-index.js';
import {getLeaseEnd} from './get-lease-end.js';
import {getTermAt} from './get-term-at.js';
import {getVotersWithoutSilent} from './get-voters-without-silent.js';
import {getTransferTarget} from './get-transfer-target.js';
import {isAskingToJoin} from './is-asking-to-join.js';
import {isExpectingVoters} from './is-expecting-voters.js';
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
	/** Provides the time at which the process was last resumed after a suspension. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt'>;
	/** Start time of this process, in monotonic milliseconds. An earlier process on the same disk had ended by then. */
	readonly processStartedAt: number;
	readonly timers: TimerService;
	readonly storage: LogStorage;
	readonly transport: ConsensusTransport;
	readonly machine: StateMachine;
	/** Called after the voter has stopped because writes failed for too long. */
	readonly onFailure: (error: ValeleadError) => void;
	/** Called after the process was suspended or its wall clock was set forward. */
	readonly onResumed?: () => void;
	/** Called when a write to the disk failed and will be retried. */
	readonly onStorageRetry?: (error: Error) => void;
	/** Number of log entries after which a snapshot is taken. */
	readonly snapshotEvery: number;
	/** Returns random numbers, uniform in [0, 1). */
	readonly random: () => number;
};

type PendingProposal = {
	readonly resolve: (index: number) => void;
	readonly reject: (error: ValeleadError) => void;
};

const MIN_TICK_MS = 25;

/** Number of ticks in a heartbeat interval. The tick is the timer resolution of elections and heartbeats. */
const TICKS_PER_HEARTBEAT = 4;

/** Time for which failed writes are retried, for example while the disk is full, before the voter stops. */
const STORAGE_RETRY_LIMIT_MS = 30_000;
const STORAGE_RETRY_MS = 200;

/** Runs one voter: passes events to its state and executes the resulting effects. Writes are synced before any reply is sent. */
export class ConsensusNode {
	readonly #parts: NodeParts;
	readonly #state: ConsensusState;
	readonly #proposals = new Map<string, PendingProposal>();
	readonly #senders = new Map<string, MessageTarget>();
	/** Monotonic time of the last message received from each member, by member id. */
	readonly #lastReceivedAt = new Map<string, number>();
	#pendingEffects: ConsensusEffect[] = [];
	#flushing: Promise<void> | undefined;
	#isStopped = false;
	#nextProposal = 1;
	/** Index of the last entry applied to the state machine. It lags behind the commit index until the disk has synced the entries. */
	#machineAppliedIndex = 0;
	/** The highest commit index received from a leader since this process started. */
	#receivedCommitIndex = 0;
	#hasRecoveredState = false;
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

	/** Returns the term in which an entry was proposed, or undefined if the log does not contain the entry any more. */
	getTermAt(index: number): number | undefined {
		return getTermAt(this.#state, index);
	}

	get commitIndex(): number {
		return this.#state.commitIndex;
	}

	get voters(): readonly Voter[] {
		return this.#state.voters;
	}

	/** Returns the voters of the snapshot, which initially are those that formed the quorum, or the current voters if the snapshot has none. */
	get formation(): readonly Voter[] {
		return this.#state.snapshot.voters.length > 0 ? this.#state.snapshot.voters : this.#state.voters;
	}

	get leader(): Voter | undefined {
		return this.#state.voters.find(voter => voter.id === this.#state.leaderId);
	}

	/** True if this voter has no vote, or may have lost it, and should ask the leader to admit it. */
	get isAskingToJoin(): boolean {
		return isAskingToJoin(this.#state, this.#parts.settings, this.#parts.clock.now());
	}

	get isLeader(): boolean {
		return this.#state.role === 'leader';
	}

	/** True if this voter is the leader, has a valid lease, and has committed an entry of its own term and thus all entries of earlier terms. */
	get isCurrentLeader(): boolean {
		this.#checkSuspension();
		const now = this.#parts.clock.now();
		const hasLease = now < getLeaseEnd(this.#state, this.#parts.settings, now);
		return hasLease && this.#hasOwnCommit();
	}

	/**
	 * True if this voter is the current leader and its state machine has applied everything that any leader has acknowledged: reads are
	 * linearizable.
	 */
	get canRead(): boolean {
		return this.isCurrentLeader && this.#machineAppliedIndex >= this.#state.appliedIndex;
	}

	/**
	 * True if the state machine has applied everything that was acknowledged before this process started, as far as the leaders that have contacted
	 * it since then know: it has applied an entry of the current term, which follows all earlier entries, and every entry up to the highest commit
	 * index that it has received. It never becomes false again, because the state machine only moves forward.
	 */
	get hasRecoveredState(): boolean {
		return this.#hasRecoveredState;
	}

	/** Handles a message of another voter. The sender's address is stored for the reply, because the sender may not be a known voter yet. */
	receive(from: MessageTarget, message: ConsensusMessage): void {
		this.#senders.set(from.id, from);
		this.#lastReceivedAt.set(from.id, this.#parts.clock.now());
		this.#receivedCommitIndex = message.kind === 'appendRequest' ? Math.max(this.#receivedCommitIndex, message.commitIndex) : this.#receivedCommitIndex;
		this.#handle({kind: 'message', from: from.id, message});
	}

	/** Proposes a command. Resolves with its index once it is committed and applied; rejects if this voter is not the leader. */
	async propose(data: string): Promise<number> {
		return this.#propose(proposalId => ({kind: 'propose', proposalId, data}));
	}

	/** Proposes a change of the voters. Resolves with its index once it is committed; rejects if this voter is not the leader. */
	async configure(voters: readonly Voter[]): Promise<number> {
		return this.#propose(proposalId => ({kind: 'configure', proposalId, voters}));
	}

	/** Transfers leadership to the reachable voter whose log is the most up to date. */
	transferLeadership(): void {
		const target = getTransferTarget(this.#state, this.#parts.settings, this.#parts.clock.now());
		if (target) {
			this.#handle({kind: 'transfer', to: target.id});
		}
	}

	/**
	 * Returns the voters without one that has been silent for too long.
	 * Returns undefined if none should be removed, or this voter is not the current leader.
	 * @param minVoters - The number of voters below which none is removed.
	 */
	getVotersWithoutSilent(silenceMs: number, minVoters: number): readonly Voter[] | undefined {
		return this.isCurrentLeader ? getVotersWithoutSilent(this.#state, silenceMs, this.#parts.clock.now(), minVoters) : undefined;
	}

	/** True if this leader has fewer voters than the minimum, and the last member was added, or its term began, less than the given time ago. */
	isExpectingVoters(minVoters: number, joinWindowMs: number): boolean {
		return isExpectingVoters(this.#state, minVoters, joinWindowMs, this.#parts.clock.now());
	}

	/**
	 * Returns this voter's view of the quorum.
	 * @param silenceMs - A member that has sent no message for longer does not count as reachable, in milliseconds.
	 */
	getQuorumView(silenceMs: number): QuorumView {
		const {selfId, term} = this.#state;
		const now = this.#parts.clock.now();
		const voters = this.#state.voters.filter(voter => !voter.isLearner);
		const reachable = voters.filter(({id}) => id === selfId || now - (this.#lastReceivedAt.get(id) ?? Number.NEGATIVE_INFINITY) <= silenceMs);
		return {
			voters, reachable, term, leader: this.leader, isLeader: this.isLeader,
		};
	}

	/** True if a member has all committed entries. */
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

	/** Records a suspension of the process before any decision uses a lease from before it. */
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

	/** Retries failed writes. Nothing that depends on the batch is sent before it is stored, so a voter whose writes fail stops responding. */
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
				this.#hasRecoveredState ||= effect.entry.term === this.#state.term && effect.entry.index >= this.#receivedCommitIndex;

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
