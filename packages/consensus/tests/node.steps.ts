import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {SYSTEM_CLOCK, SYSTEM_SUSPENSIONS, TimerService} from '@valelead/common';
import {
	type ConsensusSettings, type LogStorage, type StoredLog, type FormationDecision, type DiscoveredVoter, type Voter, ConsensusNode,
	getFormationDecision, getVotersWithoutSilent, mutateConsensus, newConsensusState,
} from '@valelead/consensus';

type NodeWorld = {
	node: ConsensusNode;
	timers: TimerService;
	failures: number;
	events: string[];
	voters: Voter[];
	silent: string;
	named: number;
	self: Voter;
	decision: FormationDecision;
};

const SETTINGS: ConsensusSettings = {heartbeatMs: 20, electionTimeoutMs: 50};
const SILENCE_MS = 2000;
const LONG_MS = 5000;
const POLL_MS = 5;

const newVoter = (id: string, isLearner = false): Voter => ({
	id, vm: id, address: id, isLearner,
});

const newStored = (voters: readonly Voter[]): StoredLog => ({
	id: 'a',
	vm: 'a',
	hardState: {term: 0, votedFor: undefined},
	snapshot: {
		index: 0, term: 0, voters, data: '',
	},
	entries: [],
});

const newStorage = (world: NodeWorld): LogStorage => ({
	load: async () => undefined,
	create: async () => undefined,
	async persist() {
		if (world.failures > 0) {
			world.failures -= 1;
			world.events.push('refused');
			throw new Error('no space left');
		}

		world.events.push('stored');
	},
	close: async () => undefined,
});

Given('a voter that is the only member of its quorum', async function (this: NodeWorld) {
	this.failures = 0;
	this.events = [];
	this.timers = new TimerService(SYSTEM_CLOCK);
	this.node = new ConsensusNode(newStored([newVoter('a')]), {
		settings: SETTINGS,
		clock: SYSTEM_CLOCK,
		suspensions: SYSTEM_SUSPENSIONS,
		processStartedAt: SYSTEM_CLOCK.now(),
		timers: this.timers,
		storage: newStorage(this),
		transport: {send: () => undefined},
		machine: {
			apply: (_index, data) => {
				this.events.push(`applied ${data}`);
			},
			restore: () => undefined,
			save: () => '',
		},
		onFailure(error) {
			throw error;
		},
		snapshotEvery: 1000,
		random: () => 0,
	});
	this.node.start();
	while (!this.node.isCurrentLeader) {
		await this.timers.wait(POLL_MS);
	}

	this.events.length = 0;
});

When('its disk refuses the next {int} writes and a command is proposed', async function (this: NodeWorld, count: number) {
	this.failures = count;
	await this.node.propose('command');
	this.events.push('acknowledged');
	await this.node.stop();
	this.timers.stop();
});

Then('the command is not acknowledged before the disk has stored it', function (this: NodeWorld) {
	assert.deepEqual(this.events, ['refused', 'refused', 'stored', 'applied command', 'acknowledged']);
});

Then('the command is applied once', function (this: NodeWorld) {
	assert.equal(this.events.filter(event => event === 'applied command').length, 1);
});

Given('a leader with {int} voters and {int} learner, of which {string} has been silent for long', function (this: NodeWorld, voters: number, learners: number, silent: string) {
	const ids = [...'abcdefgh'];
	this.voters = [
		...ids.slice(0, voters).map(id => newVoter(id)),
		...Array.from({length: learners}, () => newVoter('z', true)),
	];
	this.silent = silent;
});

Then('{int} members are kept if {int} losses must be tolerated', function (this: NodeWorld, count: number, losses: number) {
	const state = newConsensusState(newStored(this.voters), SETTINGS, 0);
	mutateConsensus(state, SETTINGS, {kind: 'tick', jitter: 0}, 1);
	state.role = 'leader';
	for (const {id} of this.voters.slice(1)) {
		state.peers.set(id, {
			nextIndex: 1, matchIndex: 0, ackedSentAt: LONG_MS, joinedAt: 0,
		});
	}

	const lastId = this.silent === 'a learner' ? 'z' : this.voters.at(-1)!.id;
	if (this.silent !== 'nobody') {
		state.peers.get(lastId)!.ackedSentAt = 0;
	}

	const kept = getVotersWithoutSilent(state, SILENCE_MS, LONG_MS, (2 * losses) + 1) ?? this.voters;
	assert.equal(kept.length, count);
	assert.equal(kept.some(voter => voter.id === lastId), count === this.voters.length);
});

Then('a voter whose process started at 0 ms grants a vote that is requested at {int} ms: {word}', (askedAt: number, isGranted: string) => {
	const state = newConsensusState(newStored([newVoter('a'), newVoter('b'), newVoter('c')]), SETTINGS, 0);
	const [effect] = mutateConsensus(state, SETTINGS, {
		kind: 'message',
		from: 'b',
		message: {
			kind: 'voteRequest', term: 9, isPreVote: true, isTransfer: false, lastIndex: 9, lastTerm: 9,
		},
	}, askedAt);
	assert.ok(effect?.kind === 'send' && effect.message.kind === 'voteReply');
	assert.equal(effect.message.isGranted, isGranted === 'yes');
});

const split = (text: string): string[] => text === '' ? [] : text.split(', ');

Given('settings that name {int} controllers, and a voter {string} among them that queries the others', function (this: NodeWorld, named: number, self: string) {
	this.named = named;
	this.self = newVoter(self);
});

When('it reaches {string} without a quorum that propose {string}, {string} without a disk and {string} with a quorum of {string}', function (
	this: NodeWorld,
	voters: string,
	proposed: string,
	standbys: string,
	formed: string,
	counted: string,
) {
	const formation = split(counted).map(id => newVoter(id));
	const peers: DiscoveredVoter[] = [
		...split(standbys).map(id => ({
			voter: newVoter(id), canVote: false, isFounder: false, isFormed: false, proposal: [], formation: [],
		})),
		...split(voters).map(id => ({
			voter: newVoter(id), canVote: true, isFounder: true, isFormed: false, proposal: split(proposed), formation: [],
		})),
		...split(formed).map(id => ({
			voter: newVoter(id), canVote: true, isFounder: true, isFormed: true, proposal: [], formation,
		})),
	];
	this.decision = getFormationDecision(this.self, this.named, peers);
});

Then(/^its decision is to (wait|join|form .+)$/, function (this: NodeWorld, text: string) {
	const {decision} = this;
	const voters = decision.kind === 'form' ? ` ${decision.voters.map(({id}) => id).join(', ')}` : '';
	assert.equal(`${decision.kind}${voters}`, text);
});
