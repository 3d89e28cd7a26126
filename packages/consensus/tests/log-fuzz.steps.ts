import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {newRandom} from '../../../tests/support/new-random.js';
import type {DiskMutation} from './disk-mutation.js';
import type {LogEnd} from './log-end.js';
import {LogHistory} from './log-history.js';
import type {LogStep} from './log-step.js';

type LogFuzzWorld = {
	failure: string | undefined;
};

const MAX_STEPS = 12;
const MAX_ENDS = 3;

/** More than the operations of any single write or start. */
const MAX_OPERATIONS = 10;

const anyOperation = fc.option(fc.integer({min: 1, max: MAX_OPERATIONS}), {nil: undefined});

const anyEnd: fc.Arbitrary<LogEnd> = fc.record({isPowerLost: fc.boolean(), killAfter: anyOperation});

const anyStep: fc.Arbitrary<LogStep> = fc.record({
	write: fc.constantFrom('entries', 'vote', 'snapshot'),
	replaced: fc.nat({max: 2}),
	killAfter: anyOperation,
	refuseAfter: anyOperation,
	ends: fc.array(anyEnd, {maxLength: MAX_ENDS}),
});

When('{int} histories of a log with seed {int} lose power while the disk leaves out {string}', {timeout: 60_000}, async function (this: LogFuzzWorld, runs: number, seed: number, mutation: string) {
	const property = fc.asyncProperty(fc.array(anyStep, {maxLength: MAX_STEPS, size: 'max'}), fc.nat(), async (steps, randomSeed) => {
		const history = new LogHistory(newRandom(randomSeed), mutation as DiskMutation);
		for (const step of steps) {
			await history.run(step);
		}
	});
	const details = await fc.check(property, {seed, numRuns: runs, endOnFailure: mutation !== 'none'});
	this.failure = details.failed ? `after ${details.numRuns} runs: ${fc.stringify(details.counterexample)} ${String(details.errorInstance)}` : undefined;
});

Then('everything that was stored is read back', function (this: LogFuzzWorld) {
	assert.equal(this.failure, undefined);
});

Then('something that was stored is not read back', function (this: LogFuzzWorld) {
	assert.notEqual(this.failure, undefined);
});
