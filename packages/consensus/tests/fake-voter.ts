import {FakeDisk} from './fake-disk.js';
import {QUORUM_SETTINGS} from './quorum-settings.js';
import type {Mutation} from './mutation.js';
import {
	type ConsensusEffect, type ConsensusEvent, type ConsensusMessage, type ConsensusState, type LogEntry, type StoredLog, type Voter,
	getLeaseEnd, isAskingToJoin, getVotersWithoutSilent, isPersistEffect, mutateConsensus, newConsensusState,
} from '@valelead/consensus';

type VoterEvents = {
	readonly onSend: (from: string, to: string, message: ConsensusMessage) => void;
	readonly onApply: (id: string, entry: LogEntry) => void;
	readonly onCommitted: (proposalId: string, index: number) => void;
	/** Called when the voter has resumed but has not processed its queued messages yet; it may serve a read before them. */
	readonly onThawed: () => void;
};

/** Runs one voter on virtual time: the production state machine with a disk that may be slow or lost, or lose its last unsynced writes. */
export class FakeVoter {
	readonly disk: FakeDisk;
	state: ConsensusState;
	isUp = true;
	isFrozen = false;
	isDiskSlow = false;
	/** True if the voter has started as a member of a quorum; false while it still looks for one. */
	isFormed = true;
	/** Entries applied since the last start. */
	applied: LogEntry[] = [];
	/** Time in milliseconds that the voter's clock has missed in suspensions, and the start of the current suspension. */
	#missedMs = 0;
	#suspendedAt: number | undefined;
	readonly #events: VoterEvents;
	readonly #mutation: Mutation;
	#unsynced: ConsensusEffect[] = [];
	/** Messages that arrived while the voter was frozen. */
	#inbox: ConsensusEvent[] = [];

	constructor(readonly record: Voter, stored: StoredLog, now: number, mutation: Mutation, events: VoterEvents) {
		this.disk = new FakeDisk(stored);
		this.#events = events;
		this.#mutation = mutation;
		this.state = newConsensusState(stored, QUORUM_SETTINGS, now);
	}

	handle(event: ConsensusEvent, now: number): void {
		if (!this.isUp || !this.isFormed) {
			return;
		}

		if (this.isFrozen) {
			if (event.kind === 'message') {
				this.#inbox.push(event);
			}

			return;
		}

		this.#unsynced.push(...mutateConsensus(this.state, QUORUM_SETTINGS, this.#mutate(event), this.#toLocalTime(now)));
		if (this.#mutation === 'send before sync') {
			this.#sendUnsynced();
		}

		if (!this.isDiskSlow) {
			this.sync(now);
		}
	}

	/** Writes all pending effects to the disk, then executes the effects that had to wait for them. */
	sync(now: number): void {
		while (this.#unsynced.length > 0 && this.isUp && !this.isFrozen) {
			const batch = this.#unsynced;
			this.#unsynced = [];
			const persisted = batch.filter(effect => isPersistEffect(effect));
			this.disk.sync(this.#mutation === 'forget votes' ? persisted.filter(effect => effect.kind !== 'persistHardState') : persisted);
			for (const effect of batch) {
				this.#execute(effect);
			}

			const last = persisted.flatMap(effect => effect.kind === 'persistHardState' ? [] : effect.entries).at(-1);
			if (last) {
				this.#unsynced.push(...mutateConsensus(this.state, QUORUM_SETTINGS, {kind: 'synced', index: last.index, term: last.term}, this.#toLocalTime(now)));
			}
		}
	}

	crash(): void {
		this.isUp = false;
		this.isFrozen = false;
		this.#suspendedAt = undefined;
		this.#unsynced = [];
		this.#inbox = [];
	}

	/** @param jitter - A number in [0, 1) that selects the time of the first election within its range. */
	restart(now: number, jitter = 0): void {
		this.isUp = true;
		this.applied = [];
		this.state = newConsensusState(this.disk.load(), QUORUM_SETTINGS, this.#toLocalTime(now), jitter);
		if (this.#mutation === 'forget lease') {
			this.state.leaderContactAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Freezes the voter and also stops its clock. */
	suspend(now: number): void {
		if (this.isUp && !this.isFrozen) {
			this.isFrozen = true;
			this.#suspendedAt = now;
		}
	}

	thaw(now: number): void {
		this.isFrozen = false;
		this.#resume(now);
		this.#events.onThawed();
		const inbox = this.#inbox;
		this.#inbox = [];
		for (const event of inbox) {
			this.handle(event, now);
		}
	}

	isAskingToJoin(now: number): boolean {
		return isAskingToJoin(this.state, QUORUM_SETTINGS, this.#toLocalTime(now));
	}

	hasLease(now: number): boolean {
		const entry = this.state.log[this.state.commitIndex - this.state.snapshot.index - 1];
		const hasOwnCommit = (entry?.term ?? this.state.snapshot.term) === this.state.term;
		return this.isUp && !this.isFrozen && hasOwnCommit && this.#toLocalTime(now) < getLeaseEnd(this.state, QUORUM_SETTINGS, this.#toLocalTime(now));
	}

	getVotersWithoutSilent(silenceMs: number, minVoters: number, now: number): readonly Voter[] | undefined {
		return getVotersWithoutSilent(this.state, silenceMs, this.#toLocalTime(now), minVoters);
	}

	#toLocalTime(now: number): number {
		return now - this.#missedMs;
	}

	#resume(now: number): void {
		if (this.#suspendedAt === undefined) {
			return;
		}

		this.#missedMs += now - this.#suspendedAt;
		this.#suspendedAt = undefined;
		if (this.#mutation !== 'ignore suspension') {
			this.handle({kind: 'resumed'}, now);
		}
	}

	#mutate(event: ConsensusEvent): ConsensusEvent {
		const isVote = event.kind === 'message' && event.message.kind === 'voteRequest';
		if (this.#mutation === 'ignore lease' && isVote && event.message.kind === 'voteRequest') {
			return {...event, message: {...event.message, isTransfer: true}};
		}

		return event;
	}

	#sendUnsynced(): void {
		const sends = this.#unsynced.filter(effect => effect.kind === 'send');
		this.#unsynced = this.#unsynced.filter(effect => effect.kind !== 'send');
		for (const effect of sends) {
			this.#execute(effect);
		}
	}

	#execute(effect: ConsensusEffect): void {
		switch (effect.kind) {
			case 'send': {
				this.#events.onSend(this.record.id, effect.to, effect.message);
				break;
			}

			case 'apply': {
				this.applied.push(effect.entry);
				this.#events.onApply(this.record.id, effect.entry);
				break;
			}

			case 'proposalCommitted': {
				this.#events.onCommitted(effect.proposalId, effect.index);
				break;
			}

			default: {
				break;
			}
		}
	}
}
