import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {assertNever} from '@valelead/common';
import fc from 'fast-check';
import {ModelRetries} from './model-retries.js';
import {RETRY_STEP} from './retry-step.js';

type RetryWorld = {
	retries: ModelRetries;
	/** Repeats before the failures began. */
	before: number;
};

type Step = typeof RETRY_STEP extends fc.Arbitrary<infer Value> ? Value : never;

/** Longer than a gateway runs before it has its part of the reserve, in milliseconds. */
const WARM_UP_MS = 15_000;

/** What the budget allows 9 gateways in a window: 40 ticks of a request each, and the reserve. */
const ALLOWED = (0.2 * 9 * 40) + 64;

const HISTORY_STEPS = 40;

const play = (model: ModelRetries, step: Step): void => {
	switch (step.kind) {
		case 'pass': {
			model.pass(step.ms, step.share);
			break;
		}

		case 'rest': {
			model.pass(step.ms, 0);
			break;
		}

		case 'kill': {
			model.kill(step.index);
			break;
		}

		case 'kill all': {
			model.killAll();
			break;
		}

		case 'lead': {
			model.lead();
			break;
		}

		case 'cut': {
			model.cut(step.index);
			break;
		}

		case 'join': {
			model.join(step.index);
			break;
		}

		case 'remove': {
			model.remove(step.index);
			break;
		}

		default: {
			assertNever(step);
		}
	}
};

Given('{int} gateways whose leader has counted them', function (this: RetryWorld, gateways: number) {
	this.retries = new ModelRetries(gateways);
	this.retries.pass(WARM_UP_MS, 0);
	this.before = this.retries.repeats;
});

When('every request fails, and all gateways are killed {int} times, {int} ms apart', function (this: RetryWorld, times: number, gapMs: number) {
	this.retries.pass(gapMs, 1);
	for (let killed = 0; killed < times; killed += 1) {
		this.retries.killAll();
		this.retries.pass(gapMs, 1);
	}
});

When('every request fails for {int} ms', function (this: RetryWorld, ms: number) {
	this.retries.pass(ms, 1);
});

Then('the service gets no more repeats than its budget allows', function (this: RetryWorld) {
	assert.ok(this.retries.excess <= 0, `${this.retries.excess} more`);
});

Then('the service gets at least {float} of the repeats that its budget allows', function (this: RetryWorld, share: number) {
	const repeats = this.retries.repeats - this.before;
	assert.ok(repeats >= share * ALLOWED, `${repeats} of ${ALLOWED}`);
});

Then('in {int} random histories with {int} gateways the service gets no more repeats than its budget allows', {timeout: 60_000}, (runs: number, gateways: number) => {
	fc.assert(fc.property(fc.array(RETRY_STEP, {minLength: 10, maxLength: HISTORY_STEPS, size: 'max'}), steps => {
		const model = new ModelRetries(gateways);
		model.pass(WARM_UP_MS, 0);
		for (const step of steps) {
			play(model, step);
		}

		assert.ok(model.excess <= 0, `${model.excess} more`);
	}), {numRuns: runs, endOnFailure: true});
});
