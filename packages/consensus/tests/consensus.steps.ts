import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {runQuorumFuzz} from './run-quorum-fuzz.js';
import type {Mutation} from './mutation.js';

type QuorumWorld = {
	mutation: Mutation;
	failure: string | undefined;
};

Given('the quorum\'s mechanisms are all on', function (this: QuorumWorld) {
	this.mutation = 'none';
});

Given('the quorum\'s mechanism is mutated to {string}', function (this: QuorumWorld, mutation: Mutation) {
	this.mutation = mutation;
});

When('{int} runs of random commands with seed {int} are tried', {timeout: 120_000}, function (this: QuorumWorld, runs: number, seed: number) {
	this.failure = runQuorumFuzz({seed, runs, mutation: this.mutation}).failure;
});

When('up to {int} runs of random commands with seed {int} are tried', {timeout: 120_000}, function (this: QuorumWorld, runs: number, seed: number) {
	this.failure = runQuorumFuzz({seed, runs, mutation: this.mutation}).failure;
});

Then('no run breaks the oracle', function (this: QuorumWorld) {
	assert.equal(this.failure, undefined);
});

Then('a run breaks the oracle', function (this: QuorumWorld) {
	assert.notEqual(this.failure, undefined);
});
