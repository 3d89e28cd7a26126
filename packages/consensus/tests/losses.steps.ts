import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FakeQuorum} from './fake-quorum.js';

type LossWorld = {
	quorum: FakeQuorum;
	isolated: number;
};

const START_MS = 1000;
const STEP_MS = 10;
const SUSPENDED = 2;

/** Time in which the replies to the last messages of the suspended voter are sent. */
const REPLY_MS = 50;

const mutateIsolated = (quorum: FakeQuorum, isolated: number): void => {
	for (const index of quorum.voters.keys()) {
		quorum.blockLink(isolated, index);
		quorum.blockLink(index, isolated);
	}
};

Given('a quorum of {int} voters that must tolerate {int} losses', function (this: LossWorld, size: number, losses: number) {
	this.quorum = new FakeQuorum(1, 'none', {size, losses});
	this.quorum.advance(START_MS);
});

When('a follower is partitioned for {int} ms', function (this: LossWorld, ms: number) {
	const {quorum} = this;
	this.isolated = (quorum.leaderIndex + 1) % quorum.voters.length;
	mutateIsolated(quorum, this.isolated);
	quorum.advance(ms);
});

Then('the follower is removed', function (this: LossWorld) {
	const {id} = this.quorum.voters[this.isolated].record;
	const counted = this.quorum.leader?.state.voters.map(voter => voter.id);
	assert.equal(counted?.includes(id), false);
});

Then('once all faults are healed, all VMs are voters again', function (this: LossWorld) {
	this.quorum.settle();
});

Then('in none of {int} quorums of {int} voters do two hold a lease after the third voter was suspended for {int} ms and received only replies', (count: number, size: number, ms: number) => {
	for (let seed = 0; seed < count; seed += 1) {
		const quorum = new FakeQuorum(seed, 'none', {size, losses: (size - 1) / 2});
		quorum.advance(START_MS);
		quorum.voters[SUSPENDED].suspend(quorum.now);
		quorum.advance(REPLY_MS);
		mutateIsolated(quorum, SUSPENDED);
		quorum.advance(ms);
		quorum.heal();
	}
});

Then('{int} quorums of {int} voters that lose {int} disks in their first {int} ms agree on one set of voters with all VMs', (count: number, size: number, losses: number, ms: number) => {
	for (let seed = 0; seed < count; seed += 1) {
		const quorum = new FakeQuorum(seed, 'none', {size, losses, isForming: true});
		quorum.advance(ms * (seed + 1) / count);
		quorum.loseDisks(Array.from({length: losses}, (_, index) => index));
		quorum.settle();
	}
});

Given('{int} VMs with empty disks that must tolerate {int} losses, from seed {int}', function (this: LossWorld, size: number, losses: number, seed: number) {
	this.quorum = new FakeQuorum(seed, 'none', {size, losses, isForming: true});
});

When('disks {int} and {int} are lost after {int} ms and their VMs come back at once', function (this: LossWorld, first: number, second: number, ms: number) {
	const {quorum} = this;
	quorum.advance(ms);
	quorum.loseDisks([first, second]);
	quorum.voters[second].isDiskSlow = true;
	quorum.restart(true);
});

When('all VMs lose power for {int} ms after {int} ms', function (this: LossWorld, downMs: number, backMs: number) {
	const {quorum} = this;
	quorum.advance(backMs);
	quorum.losePower();
	quorum.advance(downMs);
	quorum.restart(true);
});

When('disk {int} is lost after {int} ms, and disk {int} after {int} ms more', function (this: LossWorld, first: number, firstMs: number, second: number, secondMs: number) {
	const {quorum} = this;
	quorum.advance(firstMs);
	quorum.loseDisks([first]);
	quorum.advance(secondMs);
	quorum.loseDisks([second, first]);
});

When('disk {int} is lost after {int} ms and its VM comes back {int} ms later', function (this: LossWorld, index: number, lostMs: number, downMs: number) {
	this.quorum.advance(lostMs);
	this.quorum.loseDisks([index]);
	this.quorum.advance(downMs);
	this.quorum.restart(true);
});

When('the first VM that knows the voters loses its disk once all but one have started', function (this: LossWorld) {
	const {quorum} = this;
	while (quorum.voters.filter(voter => voter.isFormed).length < quorum.voters.length - 1) {
		quorum.advance(STEP_MS);
	}

	quorum.loseDisks([quorum.voters.findIndex(voter => voter.state.voters.length > 0)]);
});

When('the first leader acknowledges a command, loses its disk, and its VM comes back at once', function (this: LossWorld) {
	const {quorum} = this;
	while (!quorum.leader) {
		quorum.advance(STEP_MS);
	}

	const leader = quorum.leaderIndex;
	quorum.propose(leader);
	quorum.advance(2 * STEP_MS);
	assert.equal(quorum.acknowledged.size, 1);
	quorum.loseDisks([leader]);
	quorum.restart(true);
});
