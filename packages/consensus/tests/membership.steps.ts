import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {newRandom} from '../../../tests/support/new-random.js';
import {FakeQuorum} from './fake-quorum.js';

const FORM_MS = 1500;
const SILENT_MS = 2000;
const ENTRY_MS = 50;
const MOST_ENTRIES = 5;

const proposeSome = (quorum: FakeQuorum, count: number): void => {
	for (let entry = 0; entry < count; entry += 1) {
		quorum.propose(Math.max(0, quorum.leaderIndex));
		quorum.advance(ENTRY_MS);
	}
};

/** As leader, lets the voter go that is down, and sometimes forgets the entries that it has not got. */
const letGo = (quorum: FakeQuorum, gone: string, isCompacted: boolean): void => {
	const {state} = quorum.leader!;
	quorum.leader!.take({kind: 'configure', proposalId: 'let go', voters: state.voters.filter(voter => voter.id !== gone)}, quorum.now);
	quorum.advance(ENTRY_MS);
	assert.ok(state.voters.every(voter => voter.id !== gone));
	if (isCompacted) {
		quorum.leader!.take({kind: 'compact', index: state.appliedIndex, data: 'state'}, quorum.now);
	}
};

const checkReturn = (seed: number, size: number): void => {
	const random = newRandom(seed);
	const quorum = new FakeQuorum(seed, 'none', size);
	quorum.advance(FORM_MS);
	proposeSome(quorum, Math.floor(random() * MOST_ENTRIES));
	const position = (quorum.leaderIndex + 1 + Math.floor(random() * (size - 1))) % size;
	const gone = quorum.voters[position];
	// An entry may still be on its way to it, so that its log is longer than what is committed, or shorter.
	quorum.voters[position].isDiskSlow = random() < 0.5;
	quorum.propose(quorum.leaderIndex);
	quorum.advance(10);
	gone.crash();
	proposeSome(quorum, Math.floor(random() * MOST_ENTRIES));
	quorum.advance(SILENT_MS);
	letGo(quorum, gone.record.id, random() < 0.5);
	proposeSome(quorum, Math.floor(random() * MOST_ENTRIES));
	gone.restart(quorum.now);
	quorum.lossShare = 0.2;
	quorum.delayMs = 50;
	proposeSome(quorum, MOST_ENTRIES);
	quorum.settle();
	assert.ok(quorum.leader!.state.voters.some(voter => voter.id === gone.record.id && !voter.isLearner), `seed ${seed}: it votes again under its id`);
};

Then('in {int} quorums of {int} voters one that was let go while it was down follows again, and nothing acknowledged is undone', (count: number, size: number) => {
	for (let seed = 1; seed <= count; seed += 1) {
		checkReturn(seed, size);
	}
});
