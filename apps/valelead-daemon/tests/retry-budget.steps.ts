import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {OUTCOME, RESULT_CODE, assertNever} from '@valelead/common';
import fc from 'fast-check';
import {FAULTY_RETRY_STEP} from './faulty-retry-step.js';
import {RESTART_STEP} from './restart-step.js';
import {RetryModel} from './retry-model.js';
import {RETRY_STEP} from './retry-step.js';

type RetryWorld = {
	retries: RetryModel;
	/** Number of retries before the failures began. */
	before: number;
};

type Step = typeof FAULTY_RETRY_STEP extends fc.Arbitrary<infer Value> ? Value : never;

/** More than the time that a gateway must run before it gets its share of the reserve, in milliseconds. */
const WARM_UP_MS = 15_000;

/** The retries that the budget allows 9 gateways in a window: a fifth of the requests, which are one per tick for 40 ticks, plus the reserve. */
const ALLOWED_RETRIES = (0.2 * 9 * 40) + 64;

const HISTORY_STEPS = 40;

const applyStep = (model: RetryModel, step: Step): void => {
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

		case 'mute': {
			model.mute(step.index);
			break;
		}

		case 'delay': {
			model.delay(step.index);
			break;
		}

		case 'pause': {
			model.pause(step.index);
			break;
		}

		case 'kill leader': {
			model.killLeader();
			break;
		}

		default: {
			assertNever(step);
		}
	}
};

Given('{int} gateways whose leader has counted them', function (this: RetryWorld, gateways: number) {
	this.retries = new RetryModel(gateways);
	this.retries.pass(WARM_UP_MS, 0);
	this.before = this.retries.repeats;
});

/** The most steps of a history before the installation's first routing configuration. */
const MAX_STEPS_BEFORE_ROUTING = 6;

/** The most steps of a history after the installation's first routing configuration. */
const MAX_STEPS_AFTER_ROUTING = 15;

const newFirstStart = (gateways: number, isFirstShared: boolean): RetryModel => new RetryModel(gateways, {hasRouting: false, isFirstShared});

/** Plays a history that begins with the first start of an installation, and returns the most retries beyond the budget in any window. */
const playFirstStart = (gateways: number, isFirstShared: boolean, before: readonly Step[], after: readonly Step[]): number => {
	const model = newFirstStart(gateways, isFirstShared);
	for (const step of before) {
		applyStep(model, step);
	}

	model.lead();
	model.pass(250, 0);
	model.route();
	for (const step of after) {
		applyStep(model, step);
	}

	return model.excess;
};

Given('{int} gateways that follow the leader of an installation without a routing', function (this: RetryWorld, gateways: number) {
	this.retries = newFirstStart(gateways, true);
	this.retries.pass(1000, 0);
});

Given('{int} gateways that follow such a leader, which tells nothing of unspent retries', function (this: RetryWorld, gateways: number) {
	this.retries = newFirstStart(gateways, false);
	this.retries.pass(1000, 0);
});

When('it gets one, every request fails for {int} ms, and all gateways are killed {int} times, {int} ms apart', function (this: RetryWorld, ms: number, times: number, gapMs: number) {
	this.retries.route();
	this.retries.pass(ms, 1);
	for (let killed = 0; killed < times; killed += 1) {
		this.retries.killAll();
		this.retries.pass(gapMs, 1);
	}
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

When('the last one is taken away for {int} ms and then runs without a leader for {int} ms', function (this: RetryWorld, awayMs: number, deafMs: number) {
	const last = this.retries.gatewayCount - 1;
	this.retries.remove(last);
	this.retries.pass(awayMs, 0);
	this.retries.join(last);
	this.retries.cut(last);
	this.retries.pass(deafMs, 0);
});

When('the last one hears no leader any more, another leader begins and the first one is killed', function (this: RetryWorld) {
	this.retries.cut(this.retries.gatewayCount - 1);
	this.retries.lead();
	this.retries.kill(0);
});

When('all but the first one hear no leader any more, another leader begins and the first one is killed', function (this: RetryWorld) {
	for (let index = 1; index < this.retries.gatewayCount; index += 1) {
		this.retries.cut(index);
	}

	this.retries.lead();
	this.retries.kill(0);
});

When('all but the first one are removed for {int} ms, and then every request fails for {int} ms', function (this: RetryWorld, removedMs: number, failingMs: number) {
	for (let index = 1; index < this.retries.gatewayCount; index += 1) {
		this.retries.remove(index);
	}

	this.retries.pass(removedMs, 0);
	this.retries.pass(failingMs, 1);
});

When('no request fails for {int} ms', function (this: RetryWorld, ms: number) {
	this.retries.pass(ms, 0);
});

When('the last one hears the leader', function (this: RetryWorld) {
	this.retries.cut(this.retries.gatewayCount - 1);
});

Then('the service gets no more repeats than its budget allows', function (this: RetryWorld) {
	assert.ok(this.retries.excess <= 0, `${this.retries.excess} more`);
});

Then('the service gets at least {float} of the repeats that its budget allows', function (this: RetryWorld, share: number) {
	const repeats = this.retries.repeats - this.before;
	assert.ok(repeats >= share * ALLOWED_RETRIES, `${repeats} of ${ALLOWED_RETRIES}`);
});

Then('in {int} random histories with {int} gateways the service gets no more repeats than its budget allows', {timeout: 60_000}, (runs: number, gateways: number) => {
	fc.assert(fc.property(fc.array(RETRY_STEP, {minLength: 10, maxLength: HISTORY_STEPS, size: 'max'}), steps => {
		const model = new RetryModel(gateways);
		model.pass(WARM_UP_MS, 0);
		for (const step of steps) {
			applyStep(model, step);
		}

		assert.ok(model.excess <= 0, `${model.excess} more`);
	}), {numRuns: runs, endOnFailure: true});
});

Then('in {int} random histories from the first start of {int} gateways the service gets no more repeats than its budget allows', {timeout: 60_000}, (runs: number, gateways: number) => {
	const before = fc.array(FAULTY_RETRY_STEP, {maxLength: MAX_STEPS_BEFORE_ROUTING});
	const after = fc.array(FAULTY_RETRY_STEP, {minLength: 5, maxLength: MAX_STEPS_AFTER_ROUTING, size: 'max'});
	fc.assert(fc.property(before, after, (first, rest) => {
		const excess = playFirstStart(gateways, true, first, rest);
		assert.ok(excess <= 0, `${excess} more`);
	}), {numRuns: runs, endOnFailure: true});
});

Then('the service gets between {int} and {int} repeats', function (this: RetryWorld, least: number, most: number) {
	const {repeats} = this.retries;
	assert.ok(repeats >= least && repeats <= most, String(repeats));
});

/** Attempts that were never started, found no connection, were rejected, or failed at their upstream. */
const MIXED_FAILURES = [
	{code: RESULT_CODE.AttemptNotStarted, outcome: OUTCOME.NotRun, isUnsent: true},
	{code: RESULT_CODE.UpstreamRejected, outcome: OUTCOME.NotRun},
	{code: RESULT_CODE.UpstreamLeaving, outcome: OUTCOME.NotRun},
	{code: RESULT_CODE.UpstreamUnreachable, outcome: OUTCOME.NotRun, isUnsent: true},
	{code: RESULT_CODE.UpstreamFailed, outcome: OUTCOME.Unknown},
];

/** The seed of the histories of restarts, and how many are played; others by hand. */
const RESTART_SEED = Number(process.env.RESTART_SEED ?? 77);
const {RESTART_RUNS} = process.env;

Then('in {int} histories in which {int} gateways start again and again the service gets no more repeats than its budget allows', {timeout: 600_000}, (runs: number, gateways: number) => {
	fc.assert(fc.property(fc.array(RESTART_STEP, {minLength: 20, maxLength: HISTORY_STEPS, size: 'max'}), fc.boolean(), (steps, isMixed) => {
		const model = new RetryModel(gateways, isMixed ? {failures: MIXED_FAILURES} : {});
		model.pass(WARM_UP_MS, 0);
		for (const step of steps) {
			applyStep(model, step);
		}

		assert.ok(model.excess <= 0, `${model.excess} more`);
	}), {numRuns: Number(RESTART_RUNS ?? runs), seed: RESTART_SEED, endOnFailure: true});
});
