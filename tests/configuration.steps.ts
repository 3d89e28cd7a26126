import assert from 'node:assert/strict';
import {rm} from 'node:fs/promises';
import {Then, When} from '@cucumber/cucumber';
import type {InstallationWorld} from './support/installation-world.js';

type VoterRow = {readonly id: string; readonly address: string; readonly isLearner: boolean};

type EntryRow = {readonly revision: number; readonly vm: string};

const createTeams = async (world: InstallationWorld, count: number): Promise<void> => {
	for (let index = 0; index < count; index += 1) {
		const reply = await world.control.execute([{kind: 'createTeam', name: `team-${index}`}], {commandId: `create-${index}`});
		assert.equal(reply.code, 0, reply.message);
		world.replies.push(reply);
	}
};

const loseDisk = async (world: InstallationWorld, index: number): Promise<void> => {
	const entry = world.installation.entries[index];
	const before = await world.control.list<VoterRow>('voters');
	const lost = before.find(voter => voter.address === entry.controlAddress)!;
	await entry.program.kill();
	await rm(entry.dataFolder, {recursive: true, force: true});
	entry.program.start();
	await world.installation.waitFor('the new identity in the quorum', async () => {
		const voters = await world.control.list<VoterRow>('voters');
		return voters.length === 3 && voters.every(voter => !voter.isLearner && voter.id !== lost.id);
	});
	await world.installation.waitUntilReady();
};

When('{int} teams are created', async function (this: InstallationWorld, count: number) {
	await createTeams(this, count);
});

When('{int} teams are created one by one while the leader is killed', async function (this: InstallationWorld, count: number) {
	const leader = this.installation.entries[await this.installation.getLeader()];
	const creating = createTeams(this, count);
	await this.installation.waitFor('some teams', async () => {
		const teams = await this.control.list('teams');
		return teams.length >= 10;
	});
	await leader.program.kill();
	await creating;
});

When('the leader freezes and {int} teams are created by its successor', async function (this: InstallationWorld, count: number) {
	this.stopped = await this.installation.getLeader();
	this.installation.entries[this.stopped].program.signal('SIGSTOP');
	await createTeams(this, count);
});

When('the frozen leader wakes', function (this: InstallationWorld) {
	this.installation.entries[this.stopped].program.signal('SIGCONT');
});

When('entry {int} loses its disk and comes back', async function (this: InstallationWorld, entry: number) {
	await loseDisk(this, entry - 1);
});

When('entry {int} is killed, {int} teams are created, and it is started again', async function (this: InstallationWorld, entry: number, count: number) {
	const {program} = this.installation.entries[entry - 1];
	await program.kill();
	await createTeams(this, count);
	program.start();
	await this.installation.waitUntilReady();
});

Then('all {int} teams are listed and in force at every running entry', async function (this: InstallationWorld, count: number) {
	const teams = await this.control.list<{name: string}>('teams');
	assert.equal(teams.filter(team => team.name.startsWith('team-')).length, count);
	const running = this.installation.entries.filter(entry => entry.program.isRunning).length;
	await this.installation.waitFor('the newest revision everywhere', async () => {
		const entries = await this.control.list<EntryRow>('entries');
		const revisions = await this.control.list<{revision: number}>('revisions');
		const newest = revisions.at(-1)?.revision ?? count;
		return entries.filter(entry => entry.revision >= newest).length >= running;
	});
});

Then('a resent command returns its first result', async function (this: InstallationWorld) {
	const reply = await this.control.execute([{kind: 'createTeam', name: 'team-0'}], {commandId: 'create-0'});
	assert.equal(reply.code, 0, reply.message);
	assert.equal(reply.revision, this.replies[0].revision);
});

When('two operators send different commands with the same expected revision', async function (this: InstallationWorld) {
	const [entry] = await this.control.list<EntryRow>('entries');
	const options = {expectedRevision: entry.revision};
	this.replies = await Promise.all(['left', 'right'].map(async name => this.control.execute([{kind: 'createTeam', name}], {commandId: name, ...options})));
});

Then('one is accepted and the other is refused with code {int}', function (this: InstallationWorld, code: number) {
	assert.deepEqual(this.replies.map(reply => reply.code).sort((left, right) => left - right), [0, code]);
});

Then('the quorum has {int} voters, none of them a learner', async function (this: InstallationWorld, count: number) {
	const voters = await this.control.list<{isLearner: boolean}>('voters');
	assert.equal(voters.filter(voter => !voter.isLearner).length, count);
});
