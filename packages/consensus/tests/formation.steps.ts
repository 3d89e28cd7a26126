import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type DiscoveredVoter, type Voter, getFormationDecision, isFormationAllowed,
} from '@valelead/consensus';

type PeerKind = Pick<DiscoveredVoter, 'canVote' | 'isFounder'>;

type FormationWorld = {
	id: string;
	founders: string[];
	configured: string[];
	isFirstStart: boolean;
	isFormed: boolean;
};

const FOUNDER: PeerKind = {canVote: true, isFounder: true};
const ANOTHER: PeerKind = {canVote: true, isFounder: false};
const DISKLESS: PeerKind = {canVote: false, isFounder: false};

const split = (text: string): string[] => text.split(', ').filter(item => item !== '');

const newVoter = (id: string): Voter => ({
	id, vm: id, address: id, isLearner: false,
});

Given('a voter {string} whose first settings named {string} and whose present settings name {string}', function (this: FormationWorld, id: string, founders: string, configured: string) {
	this.id = id;
	this.founders = split(founders);
	this.configured = split(configured);
});

Given(/^the first start of the installation (goes on|is over)$/, function (this: FormationWorld, start: string) {
	this.isFirstStart = start === 'goes on';
});

const find = (world: FormationWorld, found: ReadonlyArray<[string, PeerKind]>): void => {
	const proposal = [world.id, ...found.filter(([, {canVote}]) => canVote).map(([id]) => id)].sort();
	const peers = found.map(([id, kind]) => ({
		voter: newVoter(id), ...kind, isFormed: false, proposal, formation: [],
	}));
	const decision = getFormationDecision(newVoter(world.id), world.configured.length, peers);
	world.isFormed = decision.kind === 'form' && isFormationAllowed(decision, {
		peers, isFirstStart: world.isFirstStart, configured: world.configured, founders: world.founders, address: world.id,
	});
};

When('it finds founders {string}, which would form the same quorum', function (this: FormationWorld, ids: string) {
	find(this, split(ids).map(id => [id, FOUNDER]));
});

When('it finds founder {string} and another {string}, which would form the same quorum', function (this: FormationWorld, founder: string, another: string) {
	find(this, [[founder, FOUNDER], [another, ANOTHER]]);
});

When('it finds founder {string} and diskless {string}, which would form the same quorum', function (this: FormationWorld, founder: string, diskless: string) {
	find(this, [[founder, FOUNDER], [diskless, DISKLESS]]);
});

When('it finds nobody, which would form the same quorum', function (this: FormationWorld) {
	find(this, []);
});

Then(/^a quorum is (formed|not formed)$/, function (this: FormationWorld, expected: string) {
	assert.equal(this.isFormed, expected === 'formed');
});
