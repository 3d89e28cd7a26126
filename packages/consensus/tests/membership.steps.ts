import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {newRandom} from '../../../tests/support/new-random.js';
import {FakeQuorum} from './fake-quorum.js';
import {getToleratedSets} from './get-tolerated-sets.js';
import {QUORUM_SETTINGS} from './quorum-settings.js';
import {
	type ConsensusState, type Voter, getToleratedLosses, getMinVoters, getNextMembership, getVotersWithoutSilent, isExpectingVoters, mutateConsensus,
} from '@valelead/consensus';

type MembershipWorld = {
	quorum: FakeQuorum;
	state: ConsensusState;
	joinedAt: number;
	voters: Voter[];
	lost: number;
};

const FORM_MS = 1500;
const SILENT_MS = 2000;
const ENTRY_MS = 50;
const MAX_ENTRIES = 5;
const LONG_MS = 5000;
const GROWTH_MS = 2000;

const proposeSome = (quorum: FakeQuorum, count: number): void => {
	for (let entry = 0; entry < count; entry += 1) {
		quorum.propose(Math.max(0, quorum.leaderIndex));
		quorum.advance(ENTRY_MS);
	}
};

/**
 * Lets the leader remove a voter that is down, and compact its log if requested, so that the leader no longer has the entries that this voter
 * lacks.
 */
const removeVoter = (quorum: FakeQuorum, removedId: string, isCompacted: boolean): void => {
	const {state} = quorum.leader!;
	quorum.leader!.handle({kind: 'configure', proposalId: 'let go', voters: state.voters.filter(voter => voter.id !== removedId)}, quorum.now);
	quorum.advance(ENTRY_MS);
	assert.ok(state.voters.every(voter => voter.id !== removedId));
	if (isCompacted) {
		quorum.leader!.handle({kind: 'compact', index: state.appliedIndex, data: 'state'}, quorum.now);
	}
};

const checkReturn = (seed: number, size: number): void => {
	const random = newRandom(seed);
	const quorum = new FakeQuorum(seed, 'none', {size, losses: getToleratedLosses(size)});
	quorum.advance(FORM_MS);
	proposeSome(quorum, Math.floor(random() * MAX_ENTRIES));
	const position = (quorum.leaderIndex + 1 + Math.floor(random() * (size - 1))) % size;
	const gone = quorum.voters[position];
	// The voter may crash before it has stored this entry or before the entry is committed, so its log may be shorter or longer than the committed
	// one.
	quorum.voters[position].isDiskSlow = random() < 0.5;
	quorum.propose(quorum.leaderIndex);
	quorum.advance(10);
	gone.crash();
	proposeSome(quorum, Math.floor(random() * MAX_ENTRIES));
	quorum.advance(SILENT_MS);
	removeVoter(quorum, gone.record.id, random() < 0.5);
	proposeSome(quorum, Math.floor(random() * MAX_ENTRIES));
	gone.restart(quorum.now);
	quorum.lossProbability = 0.2;
	quorum.delayMs = 50;
	proposeSome(quorum, MAX_ENTRIES);
	quorum.settle();
	assert.ok(quorum.leader!.state.voters.some(voter => voter.id === gone.record.id && !voter.isLearner), `seed ${seed}: it votes again under its id`);
};

Then('in {int} quorums of {int} voters a voter that was removed while it was down follows again, and no acknowledged command is undone', (count: number, size: number) => {
	for (let seed = 1; seed <= count; seed += 1) {
		checkReturn(seed, size);
	}
});

Given('a leader that has led {int} voters for {int} ms', function (this: MembershipWorld, count: number, ms: number) {
	this.quorum = new FakeQuorum(1, 'none', {size: count, losses: getToleratedLosses(count)});
	this.quorum.advance(ms);
	this.state = this.quorum.leader!.state;
});

When('a learner joins', function (this: MembershipWorld) {
	const learner = {
		id: 'learner', vm: 'learner', address: 'learner', isLearner: true,
	};
	this.joinedAt = this.quorum.now;
	mutateConsensus(this.state, QUORUM_SETTINGS, {kind: 'configure', proposalId: 'join', voters: [...this.state.voters, learner]}, this.joinedAt);
	assert.ok(this.state.voters.some(({id}) => id === learner.id));
});

const getRemovedIds = ({state, joinedAt}: MembershipWorld, laterMs: number, silenceMs: number): string[] => {
	const now = joinedAt + laterMs;
	for (const [id, progress] of state.peers) {
		progress.ackedSentAt = id === 'learner' ? progress.ackedSentAt : now;
	}

	const kept = getVotersWithoutSilent(state, silenceMs, now, state.voters.length) ?? state.voters;
	return state.voters.filter(voter => !kept.includes(voter)).map(({id}) => id);
};

Then('{int} ms later nobody is removed as silent for {int} ms', function (this: MembershipWorld, laterMs: number, silenceMs: number) {
	assert.deepEqual(getRemovedIds(this, laterMs, silenceMs), []);
});

Then('{int} ms later the learner is removed as silent for {int} ms', function (this: MembershipWorld, laterMs: number, silenceMs: number) {
	assert.deepEqual(getRemovedIds(this, laterMs, silenceMs), ['learner']);
});

const newMember = (vm: string, generation: string): Voter => ({
	id: `${vm}${generation}`, vm, address: vm, isLearner: false,
});

type NextStep = typeof getNextMembership;

/** Returns the next configuration in the order that is not in use: the new identity votes before the old one is removed. */
const getNextWithEarlyVote: NextStep = (voters, joining) => {
	const known = voters.find(({id}) => id === joining.id);
	if (!known) {
		return [...voters, {...joining, isLearner: true}];
	}

	if (known.isLearner) {
		return voters.map(voter => voter.id === joining.id ? joining : voter);
	}

	const rest = voters.filter(({vm, id}) => vm !== joining.vm || id === joining.id);
	return rest.length < voters.length ? rest : undefined;
};

/** Returns the configurations after the loss and after each replacement step. */
const getSteps = ({voters, lost}: MembershipWorld, getNext: NextStep): Array<readonly Voter[]> => {
	const steps: Array<readonly Voter[]> = [voters];
	for (const {vm} of voters.slice(0, lost)) {
		const joining = newMember(vm, '-new');
		let next = getNext(steps.at(-1)!, joining, true);
		while (next) {
			steps.push(next);
			next = getNext(next, joining, true);
		}
	}

	return steps;
};

const getToleratedAfterEachStep = (world: MembershipWorld, getNext: NextStep): Array<ReturnType<typeof getToleratedSets>> => {
	const dead = new Set(world.voters.slice(0, world.lost).map(({id}) => id));
	return getSteps(world, getNext).map(members => getToleratedSets(members, dead));
};

const getText = (tolerated: ReturnType<typeof getToleratedAfterEachStep>): string => tolerated.map(({losses, sets}) => `${losses}:${sets}`).join(' ');

Given('{int} voters of which {int} have lost their disks at once', function (this: MembershipWorld, count: number, lost: number) {
	this.voters = Array.from({length: count}, (_, index) => newMember(`vm-${index}`, ''));
	this.lost = lost;
});

Then('these losses are tolerated after each step, old identity leaves first: {string}, new one votes first: {string}', function (this: MembershipWorld, leavesFirst: string, votesFirst: string) {
	assert.equal(getText(getToleratedAfterEachStep(this, getNextMembership)), leavesFirst);
	assert.equal(getText(getToleratedAfterEachStep(this, getNextWithEarlyVote)), votesFirst);
});

Then('the order in use is the one in which the old identity leaves first, and it tolerates at least as much after each step', function (this: MembershipWorld) {
	const used = getToleratedAfterEachStep(this, getNextMembership);
	const other = getToleratedAfterEachStep(this, getNextWithEarlyVote);
	assert.equal(used.length, other.length);
	for (const [step, {losses, sets}] of used.entries()) {
		assert.ok(losses >= other[step].losses && sets >= other[step].sets, `after step ${step}`);
	}
});

Then('up to {int} losses are tolerated by twice as many voters plus one, and by no fewer', (most: number) => {
	for (let losses = 1; losses <= most; losses += 1) {
		for (let count = 1; count <= (2 * losses) + 1; count += 1) {
			const voters = Array.from({length: count}, (_, index) => newMember(`vm-${index}`, ''));
			assert.equal(getToleratedSets(voters, new Set()).losses >= losses, count > 2 * losses, `${count} voters, ${losses} losses`);
		}
	}
});

Given('a leader of {int} voters, the last of which joined {int} ms ago', function (this: MembershipWorld, count: number, ms: number) {
	this.quorum = new FakeQuorum(1, 'none', {size: count, losses: getToleratedLosses(count)});
	this.quorum.advance(LONG_MS);
	this.state = this.quorum.leader!.state;
	this.joinedAt = this.quorum.now - ms;
	this.state.leaderSince = Math.min(this.state.leaderSince, this.joinedAt);
	for (const progress of this.state.peers.values()) {
		progress.joinedAt = this.joinedAt;
	}
});

Then('an acknowledgement waits for more voters if {int} losses must be tolerated: {word}', function (this: MembershipWorld, losses: number, isWaiting: string) {
	assert.equal(isExpectingVoters(this.state, getMinVoters(losses), GROWTH_MS, this.quorum.now), isWaiting === 'yes');
});

const toMember = (text: string): Voter => ({...newMember(text[0], text[1]), isLearner: text.endsWith('?')});

Given('members {string}, each named by the letter of its VM and a number, with a question mark for learners', function (this: MembershipWorld, members: string) {
	this.voters = members.split(' ').map(text => toMember(text));
});

Then('when {string} asks to join, caught up: {word}, the next members are {string}', function (this: MembershipWorld, asking: string, isCaughtUp: string, next: string) {
	const members = getNextMembership(this.voters, toMember(asking), isCaughtUp === 'yes');
	assert.equal(members?.map(({id, isLearner}) => `${id}${isLearner ? '?' : ''}`).join(' ') ?? 'nothing', next);
});
