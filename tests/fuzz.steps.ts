import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {FUZZ_SYSTEMS} from './support/fuzz-systems.js';

type FuzzWorld = {
	failure: string | undefined;
};

When('{int} runs of the {string} with seed {int} are tried with mechanism off {string}', {timeout: 120_000}, function (this: FuzzWorld, runs: number, system: string, seed: number, mutation: string) {
	this.failure = FUZZ_SYSTEMS[system]({seed, runs, mutation}).failure;
});

Then('no run breaks the oracle', function (this: FuzzWorld) {
	assert.equal(this.failure, undefined);
});

Then('a run breaks the oracle', function (this: FuzzWorld) {
	assert.notEqual(this.failure, undefined);
});
