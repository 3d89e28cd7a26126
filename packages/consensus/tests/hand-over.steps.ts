import assert from 'node:assert/strict';
import {setImmediate as nextEventLoopIteration} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {QUORUM_SETTINGS} from './quorum-settings.js';
import {type ConsensusMessage, type Voter, ConsensusNode} from '@valelead/consensus';

type TransferWorld = {
	time: VirtualTime;
	node: ConsensusNode;
	unreachable: readonly string[];
	/** The voter that was asked to become leader. */
	asked: string;
};

const STEP_MS = 10;
const FORM_MS = 1500;

const newVoter = (id: string): Voter => ({
	id, vm: id, address: id, isLearner: false,
});

/** Returns the reply of a voter that agrees to every request, if the message expects a reply. */
const newReply = (message: ConsensusMessage): ConsensusMessage | undefined => {
	switch (message.kind) {
		case 'voteRequest': {
			return {
				kind: 'voteReply', term: message.term, isPreVote: message.isPreVote, isGranted: true,
			};
		}

		case 'appendRequest': {
			return {
				kind: 'appendReply', term: message.term, isSuccess: true, matchIndex: message.previousIndex + message.entries.length, sentAt: message.sentAt,
			};
		}

		default: {
			return undefined;
		}
	}
};

const advance = async (time: VirtualTime, ms: number): Promise<void> => {
	for (let passed = 0; passed < ms; passed += STEP_MS) {
		time.advance(STEP_MS);
		await nextEventLoopIteration();
	}
};

const send = (world: TransferWorld, to: string, message: ConsensusMessage): void => {
	if (message.kind === 'timeoutNow') {
		world.asked = to;
	}

	const answer = newReply(message);
	if (answer && !world.unreachable.includes(to)) {
		world.time.after(1, () => {
			world.node.receive({id: to, address: to}, answer);
		});
	}
};

Given('a leader {string} with voters {string}, all of which have the whole log', async function (this: TransferWorld, leader: string, others: string) {
	this.time = new VirtualTime();
	this.unreachable = [];
	this.asked = 'nobody';
	const voters = [leader, ...others.split(' ')].map(id => newVoter(id));
	this.node = new ConsensusNode({
		id: leader,
		vm: leader,
		hardState: {term: 0, votedFor: undefined},
		snapshot: {
			index: 0, term: 0, voters, data: '',
		},
		entries: [],
	}, {
		settings: QUORUM_SETTINGS,
		clock: {now: () => this.time.now, wallNow: () => this.time.now},
		suspensions: {resumedAt: Number.NEGATIVE_INFINITY},
		processStartedAt: 0,
		timers: newVirtualTimers(this.time),
		storage: {
			load: async () => undefined, create: async () => undefined, persist: async () => undefined, close: async () => undefined,
		},
		transport: {
			send: (_from, to, message) => {
				send(this, to.id, message);
			},
		},
		machine: {apply: () => undefined, restore: () => undefined, save: () => ''},
		onFailure(error) {
			throw error;
		},
		snapshotEvery: 1000,
		random: () => 0,
	});
	this.node.start();
	await advance(this.time, FORM_MS);
	assert.ok(this.node.isCurrentLeader);
});

When('{string} are unreachable for {int} ms and the leader transfers leadership', async function (this: TransferWorld, unreachable: string, ms: number) {
	this.unreachable = unreachable.split(' ');
	await advance(this.time, ms);
	assert.ok(this.node.isLeader);
	this.node.transferLeadership();
	await advance(this.time, STEP_MS);
	await this.node.stop();
});

Then('the voter that is asked to become leader is {string}', function (this: TransferWorld, asked: string) {
	assert.equal(this.asked, asked);
});
