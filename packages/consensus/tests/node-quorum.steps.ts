import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {newRandom} from '../../../tests/support/new-random.js';
import type {DiskMutation} from './disk-mutation.js';
import {newAnyQuorumRound} from './new-any-quorum-round.js';
import {NodeQuorum} from './node-quorum.js';
import type {QuorumRound} from './quorum-round.js';

type NodeQuorumWorld = {
	failure: string | undefined;
};

const MAX_ROUNDS = 4;

/** Timing of controllers, as their settings have it by default. */
const CONTROLLER_SETTINGS = {heartbeatMs: 200, electionTimeoutMs: 700};

/** The last voter is cut off. In this order of events, the second voter is killed between the rename of its new log file and the sync of the folder. */
const SNAPSHOT_SEED = 18;
const SNAPSHOT_ROUND: QuorumRound = {
	changes: 4, gapMs: 56, isolated: 2, isRestarted: true, isTransferred: false, delayMs: 336, lost: [0], isPowerLost: true, startMs: [2, 514, 0],
};

When('{int} histories of {int} voters that bear {int} losses with seed {int} lose disks and power while the disks leave out {string}', {timeout: 120_000}, async function (
	this: NodeQuorumWorld,
	runs: number,
	size: number,
	losses: number,
	seed: number,
	mutation: string,
) {
	const anyRounds = fc.array(newAnyQuorumRound(size, losses), {minLength: 1, maxLength: MAX_ROUNDS, size: 'max'});
	const property = fc.asyncProperty(anyRounds, fc.nat(), async (rounds, randomSeed) => {
		const quorum = new NodeQuorum({
			size, losses, random: newRandom(randomSeed), mutation: mutation as DiskMutation,
		});
		await quorum.start();
		for (const round of rounds) {
			await quorum.play(round);
		}
	});
	const details = await fc.check(property, {seed, numRuns: runs, endOnFailure: true});
	this.failure = details.failed ? `after ${details.numRuns} runs: ${fc.stringify(details.counterexample)} ${String(details.errorInstance)}` : undefined;
});

When('3 voters are killed 56 ms after their 3rd change, and 336 ms after another one lose power and the first its disk', async function (this: NodeQuorumWorld) {
	const quorum = new NodeQuorum({
		size: 3, losses: 1, random: newRandom(SNAPSHOT_SEED), mutation: 'none',
	});
	await quorum.start();
	try {
		await quorum.play(SNAPSHOT_ROUND);
		this.failure = undefined;
	} catch (error) {
		this.failure = String(error);
	}
});

Then('in none of {int} quorums of {int} voters that bear {int} losses does a successor take more than {int} ms to replace a leader', {timeout: 60_000}, async (
	runs: number,
	size: number,
	losses: number,
	limitMs: number,
) => {
	const times: number[] = [];
	for (let seed = 1; seed <= runs; seed += 1) {
		const quorum = new NodeQuorum({
			size, losses, random: newRandom(seed), mutation: 'none', settings: CONTROLLER_SETTINGS,
		});
		await quorum.start();
		times.push(await quorum.replaceLeader());
	}

	const late = times.filter(ms => ms > limitMs);
	assert.equal(late.length, 0, `${late.length} of ${runs} took ${late.join(', ')} ms`);
});
