import assert from 'node:assert/strict';
import {newRandom} from '../../../tests/support/new-random.js';
import {FakeFormation} from './fake-formation.js';
import {FakeVoter} from './fake-voter.js';
import {QUORUM_SETTINGS} from './quorum-settings.js';
import type {Mutation} from './mutation.js';
import type {QuorumOptions} from './quorum-options.js';
import {
	type ConsensusMessage, type LogEntry, type Voter, getNextMembership,
} from '@valelead/consensus';

type Envelope = {
	readonly from: string;
	readonly to: string;
	readonly message: ConsensusMessage;
	readonly dueAt: number;
};

const STEP_MS = 10;
const JOIN_POLL_MS = 300;
const JOIN_PHASE_MS = 70;
const SILENT_VOTER_MS = 2000;

/** A VM that returned with an empty disk counts as lost until it has a vote, but not longer than this time without any fault. */
const MAX_CATCH_UP_MS = 6000;

/** Maximum number of successive elections with split votes. Eight voters with random timeouts do not produce more. */
const MAX_SPLIT_ELECTIONS = 6;

/** The first voter starts an election within two election timeouts after the last message of a leader, and each split vote costs at most as much. */
const ELECTION_BOUND_MS = QUORUM_SETTINGS.electionTimeoutMs * 2 * (1 + MAX_SPLIT_ELECTIONS);

/** A VM queries the others in two calls, each of which may time out after a second, with pauses between them. */
const FORMATION_BOUND_MS = 2400;

/** A change of voters is sent at once and committed by the replies. A lost message costs one heartbeat; the next one carries the commit index. */
const COMMIT_BOUND_MS = QUORUM_SETTINGS.heartbeatMs * 2;

/** A joining member receives the log in at most three exchanges: one finds the conflicting entry, one sends the snapshot, one sends the entries. */
const COPY_BOUND_MS = QUORUM_SETTINGS.heartbeatMs * 3;

/** A VM is admitted in three changes: the learner is added, its old identity is removed, and it gets its vote. Each change waits for one poll. */
const JOIN_BOUND_MS = (3 * (JOIN_POLL_MS + COMMIT_BOUND_MS)) + COPY_BOUND_MS;

/**
 * Simulates voters and a network that drops, delays, reorders and duplicates messages and blocks links in one direction. Its oracle checks that no
 * two voters apply different entries at the same index, no term has two leaders, no two voters hold a lease at the same time, and the lease holder
 * has every acknowledged command. Once all faults are healed, there must be a leader, every voter must follow it, and all VMs must be voters again.
 */
export class FakeQuorum {
	now = 0;
	readonly voters: FakeVoter[] = [];
	readonly acknowledged = new Map<string, number>();
	lossProbability = 0;
	duplicateProbability = 0;
	delayMs = 5;
	readonly #mutation: Mutation;
	readonly #random: () => number;
	readonly #blockedLinks = new Set<string>();
	readonly #appliedByIndex = new Map<number, string>();
	readonly #leaders = new Map<number, string>();
	#network: Envelope[] = [];
	#nextId = 1;
	readonly #options: QuorumOptions;
	readonly #formation: FakeFormation;
	/** For each VM, the remaining time in milliseconds for which it counts as lost. */
	readonly #lostMs: number[];

	constructor(seed: number, mutation: Mutation, site: QuorumOptions) {
		this.#random = newRandom(seed);
		this.#mutation = mutation;
		this.#options = site;
		this.#lostMs = Array.from({length: site.size}, () => 0);
		this.#formation = new FakeFormation(this.#random, (index, voters) => {
			this.#form(index, voters);
		});
		const records = Array.from({length: site.size}, (_, index) => this.#newRecord(`vm-${index}`));
		for (const record of records) {
			const voter = this.#newVoter(record, site.isForming ? [] : records);
			voter.isFormed = !site.isForming;
			this.voters.push(voter);
		}
	}

	advance(ms: number): void {
		const endsAt = this.now + ms;
		while (this.now < endsAt) {
			this.now += STEP_MS;
			for (const voter of this.voters) {
				voter.handle({kind: 'tick', jitter: this.#random()}, this.now);
				if (!voter.isDiskSlow || this.#random() < 0.1) {
					voter.sync(this.now);
				}
			}

			this.#formation.advance(this.now, this.voters, (from, to) => !this.#blockedLinks.has(`${from}>${to}`));
			this.#deliver();
			this.#updateMembership();
			this.#advanceCatchUp();
			this.#check();
		}
	}

	propose(index: number): void {
		const proposalId = `p${this.#nextId}`;
		this.#nextId += 1;
		this.voters[index].handle({kind: 'propose', proposalId, data: proposalId}, this.now);
	}

	/** Replaces a voter's disk by an empty one: the VM returns with a new identity, which the quorum must admit. */
	wipe(index: number): void {
		const old = this.voters[index];
		old.crash();
		const isKept = this.#mutation === 'keep identity';
		const record = isKept ? old.record : this.#newRecord(old.record.vm);
		const formation = isKept ? this.voters.map(voter => voter.record) : [];
		this.voters[index] = this.#newVoter(record, formation);
		this.voters[index].isFormed = !this.#options.isForming;
	}

	/**
	 * Loses several disks at the same time, up to the number of losses that the quorum tolerates. Their VMs are down, and return with empty disks.
	 */
	loseDisks(indexes: readonly number[]): void {
		for (const index of indexes) {
			if (this.#lostMs[index] > 0 || this.lostCount < this.#options.losses) {
				this.wipe(index);
				this.voters[index].crash();
				this.#lostMs[index] = MAX_CATCH_UP_MS;
			}
		}
	}

	/** The number of VMs that count as lost. */
	get lostCount(): number {
		return this.#lostMs.filter(ms => ms > 0).length;
	}

	/** Ends a process, which keeps everything that its disk has synced. */
	crash(index: number): void {
		this.voters[index].crash();
		this.#restartCatchUp();
	}

	/** Simulates a power failure of all VMs, which keep everything that their disks have synced. */
	losePower(): void {
		for (const voter of this.voters) {
			voter.crash();
		}

		this.#restartCatchUp();
	}

	/** Starts all voters that are down, or only those that did not lose their disks. */
	restart(isWithLost: boolean): void {
		for (const [index, voter] of this.voters.entries()) {
			if (!voter.isUp && (isWithLost || this.#lostMs[index] === 0)) {
				voter.restart(this.now);
			}
		}
	}

	blockLink(from: number, to: number): void {
		this.#blockedLinks.add(`${from}>${to}`);
	}

	heal(): void {
		this.#blockedLinks.clear();
		this.lossProbability = 0;
		this.duplicateProbability = 0;
		this.delayMs = 5;
		for (const voter of this.voters) {
			voter.isDiskSlow = false;
			voter.thaw(this.now);
		}

		this.restart(true);
	}

	get leader(): FakeVoter | undefined {
		return this.voters.find(voter => voter.hasLease(this.now));
	}

	/** Index of the voter that holds the lease, or -1 if there is none. */
	get leaderIndex(): number {
		return this.voters.findIndex(voter => voter.hasLease(this.now));
	}

	/** Heals all faults, then checks that all VMs are voters again and that every voter has applied every acknowledged command. */
	settle(): void {
		this.heal();
		this.advance(this.#options.isForming ? FORMATION_BOUND_MS + ELECTION_BOUND_MS : ELECTION_BOUND_MS);
		const index = this.leader?.state.commitIndex;
		assert.ok(index !== undefined, 'a healed quorum has a leader');
		this.advance(COMMIT_BOUND_MS);
		for (const voter of this.voters.filter(({record}) => this.#isVoter(record))) {
			assert.ok(voter.state.commitIndex >= index, `${voter.record.id} follows the leader`);
		}

		const missing = this.voters.filter(({record}) => !this.#isVoter(record)).length;
		this.advance((missing * JOIN_BOUND_MS) + COMMIT_BOUND_MS);
		this.#checkRecovered();
	}

	/** True if the quorum is affected by any fault other than the loss of disks. */
	get #isFaulty(): boolean {
		const isHindered = this.voters.some((voter, index) => voter.isFrozen || voter.isDiskSlow || (!voter.isUp && this.#lostMs[index] === 0));
		return isHindered || this.#blockedLinks.size > 0 || this.lossProbability > 0;
	}

	#form(index: number, voters: readonly Voter[]): void {
		this.voters[index] = this.#newVoter(this.voters[index].record, voters);
	}

	#isVoter({id}: Voter): boolean {
		return this.leader?.state.voters.some(voter => voter.id === id && !voter.isLearner) ?? false;
	}

	#checkRecovered(): void {
		const {leader} = this;
		assert.ok(leader, 'a quorum without faults keeps its leader');
		const counted = leader.state.voters.map(({id, isLearner}) => isLearner ? `${id} (learner)` : id).sort();
		assert.deepEqual(counted, this.voters.map(voter => voter.record.id).sort(), 'all VMs are voters');
		for (const voter of this.voters) {
			assert.equal(voter.state.commitIndex, leader.state.commitIndex, 'every voter has the leader\'s commit index');
			assert.deepEqual(voter.state.voters, leader.state.voters, 'every voter knows the same voters');
		}

		for (const [proposalId, index] of this.acknowledged) {
			assert.equal(this.#appliedByIndex.get(index), `command:${proposalId}`, `${proposalId} remains at the index at which it was acknowledged`);
		}
	}

	#newRecord(vm: string): Voter {
		const id = `id-${this.#nextId}`;
		this.#nextId += 1;
		return {
			id, vm, address: vm, isLearner: false,
		};
	}

	#newVoter(record: Voter, formation: readonly Voter[]): FakeVoter {
		const stored = {
			id: record.id,
			vm: record.vm,
			hardState: {term: 0, votedFor: undefined},
			snapshot: {
				index: 0, term: 0, voters: formation, data: '',
			},
			entries: [],
		};
		return new FakeVoter(record, stored, this.now, this.#mutation, {
			onSend: (from, to, message) => {
				this.#send(from, to, message);
			},
			onApply: (id, entry) => {
				this.#checkApplied(id, entry);
			},
			onCommitted: (proposalId, index) => {
				if (proposalId.startsWith('p')) {
					this.acknowledged.set(proposalId, index);
				}
			},
			onThawed: () => {
				this.#check();
			},
		});
	}

	#getIndex(id: string): number {
		return this.voters.findIndex(voter => voter.record.id === id);
	}

	#send(from: string, to: string, message: ConsensusMessage): void {
		if (this.#random() < this.lossProbability) {
			return;
		}

		const copies = this.#random() < this.duplicateProbability ? 2 : 1;
		for (let copy = 0; copy < copies; copy += 1) {
			this.#network.push({
				from, to, message, dueAt: this.now + (this.#random() * this.delayMs),
			});
		}
	}

	#deliver(): void {
		const due = this.#network.filter(envelope => envelope.dueAt <= this.now);
		this.#network = this.#network.filter(envelope => envelope.dueAt > this.now);
		for (const {from, to, message} of due) {
			const target = this.voters[this.#getIndex(to)];
			if (target && !this.#blockedLinks.has(`${this.#getIndex(from)}>${this.#getIndex(to)}`)) {
				target.handle({kind: 'message', from, message}, this.now);
			}
		}
	}

	/**
	 * Lets each voter in turn ask to join if it has no vote or may have lost it, and remove a silent voter if it is the leader, as the daemon does.
	 */
	#updateMembership(): void {
		for (const [index, voter] of this.voters.entries()) {
			const isDue = (this.now + (index * JOIN_PHASE_MS)) % JOIN_POLL_MS < STEP_MS;
			if (isDue && voter.isUp && !voter.isFrozen && voter.isFormed) {
				this.#askToJoin(index);
				this.#removeSilentVoter(voter);
			}
		}
	}

	#askToJoin(index: number): void {
		const {leader, leaderIndex} = this;
		const {record} = this.voters[index];
		if (!leader || !this.voters[index].isAskingToJoin(this.now) || this.#blockedLinks.has(`${index}>${leaderIndex}`)) {
			return;
		}

		const isCaughtUp = (leader.state.peers.get(record.id)?.matchIndex ?? 0) >= leader.state.commitIndex;
		this.#configure(leader, getNextMembership(leader.state.voters, record, isCaughtUp));
	}

	#removeSilentVoter(voter: FakeVoter): void {
		if (voter.hasLease(this.now)) {
			this.#configure(voter, voter.getVotersWithoutSilent(SILENT_VOTER_MS, (2 * this.#options.losses) + 1, this.now));
		}
	}

	#configure(leader: FakeVoter, voters: readonly Voter[] | undefined): void {
		if (voters) {
			leader.handle({kind: 'configure', proposalId: `c${this.now}`, voters}, this.now);
		}
	}

	#restartCatchUp(): void {
		for (const [index, ms] of this.#lostMs.entries()) {
			this.#lostMs[index] = ms > 0 ? MAX_CATCH_UP_MS : 0;
		}
	}

	/**
	 * Counts down the time for which VMs count as lost. It starts again with any fault, such as lost messages, as a VM may then need any time to
	 * join.
	 */
	#advanceCatchUp(): void {
		const {leader} = this;
		const isFaulty = this.#isFaulty;
		for (const [index, voter] of this.voters.entries()) {
			if (this.#lostMs[index] === 0 || !voter.isUp) {
				continue;
			}

			const isIn = leader !== undefined && leader.state.votersIndex <= leader.state.commitIndex && this.#isVoter(voter.record);
			const leftMs = isFaulty ? MAX_CATCH_UP_MS : Math.max(0, this.#lostMs[index] - STEP_MS);
			this.#lostMs[index] = isIn ? 0 : leftMs;
		}
	}

	#checkApplied(id: string, entry: LogEntry): void {
		const value = `${entry.kind}:${entry.data}`;
		const applied = this.#appliedByIndex.get(entry.index);
		assert.ok(applied === undefined || applied === value, `${id} applies ${value} at ${entry.index}, but another voter applied ${applied}`);
		this.#appliedByIndex.set(entry.index, value);
	}

	#check(): void {
		const leaseHolders = this.voters.filter(voter => voter.hasLease(this.now));
		assert.ok(leaseHolders.length <= 1, `${leaseHolders.map(voter => voter.record.id).join(' and ')} hold a lease at ${this.now}`);
		for (const voter of this.voters.filter(candidate => candidate.isUp && candidate.state.role === 'leader')) {
			const known = this.#leaders.get(voter.state.term);
			assert.ok(known === undefined || known === voter.record.id, `term ${voter.state.term} has two leaders`);
			this.#leaders.set(voter.state.term, voter.record.id);
		}

		const [holder] = leaseHolders;
		if (!holder) {
			return;
		}

		for (const [proposalId, index] of this.acknowledged) {
			assert.ok(holder.state.commitIndex >= index, `${holder.record.id} holds the lease without ${proposalId}`);
		}
	}
}
