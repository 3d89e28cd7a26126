import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {QuotaModel} from './quota-model.js';
import {FAULTY_MODEL_STEP} from './faulty-model-step.js';
import {MODEL_STEP} from './model-step.js';
import {RATE_MODEL_STEP} from './rate-model-step.js';
import {replayHistory} from './replay-history.js';
import {simulateTraffic} from './simulate-traffic.js';
import {
	type Loan, type Quota, type QuotaTolerance, type StockPolicy, LARGE_STOCK_POLICY, LOAN_MS, QUOTA_UNIT,
} from '@valelead/quota';

type QuotaWorld = {
	quota: Quota;
	tolerance: QuotaTolerance;
	model: QuotaModel;
	loan: Loan | undefined;
	models: QuotaModel[];
	counts: Array<ReturnType<typeof simulateTraffic>>;
};

const TEAM = 'team';
const MS_PER_SECOND = 1000;
const SEED = 23;
const TRAFFIC_RUNS = 30;
const HISTORY_STEPS = 80;

/** Quota of a small team, which allows four of its requests per second. */
const SMALL_QUOTA: Quota = {
	unit: QUOTA_UNIT.Token, perSecond: 4000, burst: 4000, plainTokens: 1,
};
const SMALL_TOLERANCE: QuotaTolerance = {windowMs: 8000, overshoot: 0.1, slack: 16_000};
const COST = 1000;
const TRAFFIC_MS = 30_000;
const LEADERLESS_FROM_MS = 15_000;

/** Interval at which a gateway borrows all available units. */
const BORROW_INTERVAL_MS = 100;

/** The same for a small bucket, which does not fill beyond its capacity while usage is not reported. */
const SHORT_INTERVAL_MS = 20;

/** Tolerance in units for rounding errors: requests take whole units, but sums of fractional units are inexact. */
const ROUNDING = 0.5;

/** Returns the maximum number of units that may be used within a window of the tolerance: what the quota allows, and the tolerance. */
const getMaxInWindow = ({perSecond, burst}: Quota, {windowMs, overshoot, slack}: QuotaTolerance): number =>
	((burst + (perSecond * windowMs / MS_PER_SECOND)) * (1 + overshoot)) + slack;

const newQuota = (perSecond: number, burst: number): Quota => ({
	unit: QUOTA_UNIT.Token, perSecond, burst, plainTokens: 1,
});

Given('a quota of {int} units a second with a burst of {int}, counted over {int} ms, with an overshoot of {float} and a slack of {int}', function (
	this: QuotaWorld,
	perSecond: number,
	burst: number,
	windowMs: number,
	overshoot: number,
	slack: number,
) {
	this.quota = newQuota(perSecond, burst);
	this.tolerance = {windowMs, overshoot, slack};
});

Given('{int} gateways and a leader that has led for {int} ms', function (this: QuotaWorld, count: number, ms: number) {
	this.model = new QuotaModel(count, this.quota, this.tolerance);
	this.model.advance(ms);
});

When('gateway {int} expects requests of {int} units', function (this: QuotaWorld, gateway: number, cost: number) {
	this.model.recordDemand(gateway - 1, cost);
});

When('gateway {int} requests {string} units', function (this: QuotaWorld, gateway: number, text: string) {
	const costs = text.split(', ').map(Number);
	this.loan = this.model.exchange(gateway - 1, costs);
	for (const cost of costs) {
		this.model.serve(gateway - 1, cost);
	}
});

When('its request ends without having run', function (this: QuotaWorld) {
	this.model.settle(0, false);
});

When('its request ends after it has run', function (this: QuotaWorld) {
	this.model.settle(0, true);
});

When('gateway {int} reports', function (this: QuotaWorld, gateway: number) {
	this.model.exchange(gateway - 1);
});

When('another leader takes over the quotas', function (this: QuotaWorld) {
	this.model.changeLeader();
});

When('{int} ms go by', function (this: QuotaWorld, ms: number) {
	this.model.advance(ms);
});

When('the quota is lowered to {int} units a second with a burst of {int}', function (this: QuotaWorld, perSecond: number, burst: number) {
	this.model.setQuota(newQuota(perSecond, burst));
});

Then('it is lent {int} units and has to wait for {int} ms', function (this: QuotaWorld, amount: number, waitMs: number) {
	assert.deepEqual({amount: this.loan?.amount, waitMs: this.loan?.waitMs}, {amount, waitMs});
});

Then('the bucket of the team holds {int} units, {int} of which are lent', function (this: QuotaWorld, level: number, lent: number) {
	const account = this.model.ledger.accounts.get(TEAM)!;
	assert.deepEqual({level: Math.round(account.level), lent: Math.round(account.lent)}, {level, lent});
});

Then('gateway {int} can serve a request of {int} units', function (this: QuotaWorld, gateway: number, cost: number) {
	assert.ok(this.model.serve(gateway - 1, cost));
});

Then('gateway {int} cannot serve a request of {int} units', function (this: QuotaWorld, gateway: number, cost: number) {
	assert.ok(!this.model.serve(gateway - 1, cost));
});

Then('no more than the lower quota and its tolerance can be borrowed in a window', function (this: QuotaWorld) {
	const {model, tolerance} = this;
	let borrowed = 0;
	for (let at = 0; at < tolerance.windowMs; at += BORROW_INTERVAL_MS) {
		const amount = model.exchange(0, Array.from({length: 200}, () => 1))?.amount ?? 0;
		assert.ok(amount === 0 || model.serve(0, amount));
		model.settle(0, true);
		borrowed += amount;
		model.advance(BORROW_INTERVAL_MS);
	}

	const most = getMaxInWindow(model.quota, tolerance);
	assert.ok(borrowed <= most, `${borrowed} of ${most}`);
});

Then('in {int} random histories the usage in each window is within the quota and its tolerance', {timeout: 60_000}, function (this: QuotaWorld, runs: number) {
	const {quota, tolerance} = this;
	const most = getMaxInWindow(quota, tolerance);
	fc.assert(fc.property(fc.array(MODEL_STEP, {minLength: 10, maxLength: HISTORY_STEPS, size: 'max'}), steps => {
		const model = new QuotaModel(4, quota, tolerance);
		replayHistory(model, steps);
		assert.ok(model.getMaxUsed(tolerance.windowMs) <= most + ROUNDING);
	}), {numRuns: runs, seed: SEED});
});

/** Stocks of gateways that keep them for the time without a leader, and the default ones. */
const POLICIES: Readonly<Record<string, StockPolicy | undefined>> = {large: LARGE_STOCK_POLICY, small: undefined};

Then('in {int} random histories with many leaders and {word} stocks the usage in each window is within the quota and its tolerance', {timeout: 60_000}, function (
	this: QuotaWorld,
	runs: number,
	stocks: string,
) {
	const {quota, tolerance} = this;
	const most = getMaxInWindow(quota, tolerance);
	fc.assert(fc.property(fc.array(FAULTY_MODEL_STEP, {minLength: HISTORY_STEPS, maxLength: 2 * HISTORY_STEPS, size: 'max'}), steps => {
		const model = new QuotaModel(4, quota, tolerance, POLICIES[stocks]);
		model.advance(TRAFFIC_MS);
		replayHistory(model, steps);
		assert.ok(model.getMaxUsed(tolerance.windowMs) <= most + ROUNDING);
	}), {numRuns: runs, seed: SEED});
});

/** Serves everything that a gateway has in stock. */
const spendStock = (model: QuotaModel, index: number): void => {
	const {previous, current} = model.gateways[index].stock;
	for (const {subjects} of [previous, current]) {
		const free = subjects.get(TEAM)?.free ?? 0;
		if (free > 0 && model.serve(index, free)) {
			model.settle(index, true);
		}
	}
};

/** A gateway borrows what it can in single units, and keeps them. */
const borrowAll = (model: QuotaModel, index: number): void => {
	const count = 400;
	model.recordDemand(index, count);
	model.exchange(index, Array.from({length: count}, () => 1));
};

Then('{int} further leaders, one every {int} ms, lend no more than the quota and its tolerance together', function (this: QuotaWorld, leaders: number, gapMs: number) {
	const {quota, tolerance} = this;
	const model = new QuotaModel(leaders + 1, quota, tolerance);
	model.advance(TRAFFIC_MS);
	borrowAll(model, 0);
	for (let index = 1; index <= leaders; index += 1) {
		model.changeLeader(false);
		model.advance(gapMs);
		borrowAll(model, index);
	}

	for (let index = 0; index <= leaders; index += 1) {
		spendStock(model, index);
	}

	for (let at = 0; at < tolerance.windowMs; at += SHORT_INTERVAL_MS) {
		borrowAll(model, leaders);
		spendStock(model, leaders);
		model.advance(SHORT_INTERVAL_MS);
	}

	const used = model.getMaxUsed(tolerance.windowMs);
	assert.ok(used <= getMaxInWindow(quota, tolerance) + ROUNDING, `${used}`);
});

Then('in {int} random histories with rate loans the usage in each window is within the quota and its tolerance', {timeout: 60_000}, function (this: QuotaWorld, runs: number) {
	const {quota, tolerance} = this;
	const most = getMaxInWindow(quota, tolerance);
	let withRates = 0;
	fc.assert(fc.property(fc.array(RATE_MODEL_STEP, {minLength: 2 * HISTORY_STEPS, maxLength: 3 * HISTORY_STEPS, size: 'max'}), steps => {
		const model = new QuotaModel(4, quota, tolerance, LARGE_STOCK_POLICY, true);
		model.advance(TRAFFIC_MS);
		replayHistory(model, steps);
		withRates += model.maxLentRateShare > 0 ? 1 : 0;
		assert.ok(model.getMaxUsed(tolerance.windowMs) <= most + ROUNDING);
	}), {numRuns: runs, seed: SEED});
	assert.ok(withRates >= runs / 2, `${withRates}`);
});

/** Sizes in which a gateway uses all that it holds. */
const SPENT_COSTS = [100, 20, 5, 1];

/** All gateways request and use everything that they can get. */
const useAll = (model: QuotaModel, indexes: readonly number[], durationMs: number): void => {
	const endsAt = model.now + durationMs;
	while (model.now < endsAt) {
		for (const index of indexes) {
			model.recordDemand(index, 20);
			model.exchange(index, Array.from({length: 20}, () => 1));
			for (const cost of SPENT_COSTS) {
				while (model.serve(index, cost)) {
					model.settle(index, true);
				}
			}
		}

		model.advance(BORROW_INTERVAL_MS);
	}
};

/** Reports of gateways with little demand, which fill their stocks and rate loans. */
const reportAll = (model: QuotaModel, indexes: readonly number[], durationMs: number): void => {
	const endsAt = model.now + durationMs;
	while (model.now < endsAt) {
		for (const index of indexes) {
			model.recordDemand(index, 20);
			model.exchange(index);
		}

		model.advance(BORROW_INTERVAL_MS);
	}
};

Then('while {int} further leaders follow, one every {int} ms, {int} gateways with rate loans use no more than the quota and its tolerance', {timeout: 60_000}, function (
	this: QuotaWorld,
	leaders: number,
	gapMs: number,
	gateways: number,
) {
	const {quota, tolerance} = this;
	const indexes = Array.from({length: gateways}, (_, index) => index);
	const model = new QuotaModel(gateways, quota, tolerance, LARGE_STOCK_POLICY, true);
	model.advance(TRAFFIC_MS);
	reportAll(model, indexes, TRAFFIC_MS);
	assert.ok(model.maxLentRateShare > 0.84, `${model.maxLentRateShare}`);
	for (let leader = 0; leader < leaders; leader += 1) {
		model.changeLeader(false);
		useAll(model, indexes, gapMs);
	}

	useAll(model, indexes, tolerance.windowMs);
	const used = model.getMaxUsed(tolerance.windowMs);
	const most = getMaxInWindow(quota, tolerance);
	assert.ok(used <= most + ROUNDING && used >= quota.perSecond * tolerance.windowMs / MS_PER_SECOND, `${used} of ${most}`);
});

Then('{int} gateways that are cut off and {int} others with a new leader use no more than the quota and its tolerance', {timeout: 60_000}, function (
	this: QuotaWorld,
	cutOff: number,
	others: number,
) {
	const {quota, tolerance} = this;
	const model = new QuotaModel(cutOff + others, quota, tolerance, LARGE_STOCK_POLICY, true);
	const earlier = Array.from({length: cutOff}, (_, index) => index);
	const later = Array.from({length: others}, (_, index) => cutOff + index);
	model.advance(TRAFFIC_MS);
	reportAll(model, earlier, TRAFFIC_MS);
	model.changeLeader(false);
	for (let at = 0; at < TRAFFIC_MS; at += BORROW_INTERVAL_MS) {
		for (const index of earlier) {
			while (model.serve(index, 1)) {
				model.settle(index, true);
			}
		}

		useAll(model, later, BORROW_INTERVAL_MS);
	}

	const used = model.getMaxUsed(tolerance.windowMs);
	const most = getMaxInWindow(quota, tolerance);
	assert.ok(used <= most + ROUNDING && used >= quota.perSecond * tolerance.windowMs / MS_PER_SECOND, `${used} of ${most}`);
});

When('{int} gateways with rate loans have little demand for {int} ms, and then one of them is cut off', function (this: QuotaWorld, gateways: number, durationMs: number) {
	this.model = new QuotaModel(gateways, this.quota, this.tolerance, LARGE_STOCK_POLICY, true);
	this.model.advance(TRAFFIC_MS);
	reportAll(this.model, Array.from({length: gateways}, (_, index) => index), durationMs);
});

Then('the leader again lends the whole lendable rate to the other {int} within {int} ms', function (this: QuotaWorld, gateways: number, durationMs: number) {
	const {model, quota} = this;
	reportAll(model, Array.from({length: gateways}, (_, index) => index), durationMs);
	const held = model.gateways.slice(0, gateways).map(({stock}) => stock.rates.subjects.get(TEAM)?.held.perSecond ?? 0);
	const share = held.reduce((sum, perSecond) => sum + perSecond, 0) / quota.perSecond;
	assert.ok(Math.abs(share - 0.85) < 0.01, `${held.join(', ')}`);
});

const simulateSmallTeam = (world: QuotaWorld, options: {readonly share: number; readonly gateways: number; readonly batchSize: number; readonly leaderlessMs: number}): void => {
	const {share, gateways, batchSize, leaderlessMs} = options;
	world.models = Array.from({length: TRAFFIC_RUNS}, () => new QuotaModel(gateways, SMALL_QUOTA, SMALL_TOLERANCE));
	world.counts = world.models.map((model, run) => {
		model.advance(TRAFFIC_MS);
		return simulateTraffic(model, {
			random: xoroshiro128plus(SEED + run),
			perSecond: share * SMALL_QUOTA.perSecond / COST,
			cost: COST,
			batchSize,
			durationMs: TRAFFIC_MS,
			leaderless: {from: LEADERLESS_FROM_MS, durationMs: leaderlessMs},
		});
	});
};

When('a team at {float} of its quota sends batches of {int} requests to {int} gateways', function (this: QuotaWorld, share: number, batchSize: number, gateways: number) {
	simulateSmallTeam(this, {
		share, gateways, batchSize, leaderlessMs: 0,
	});
});

When('a team at {float} of its quota sends batches of {int} requests to {int} gateways, {int} ms of the time without a leader', function (
	this: QuotaWorld,
	share: number,
	batchSize: number,
	gateways: number,
	leaderlessMs: number,
) {
	simulateSmallTeam(this, {
		share, gateways, batchSize, leaderlessMs,
	});
});

Then('no request is refused that the quota allows', function (this: QuotaWorld) {
	for (const {sent, refusedAllowed} of this.counts) {
		assert.ok(sent > 0);
		assert.equal(refusedAllowed, 0, `of ${sent}`);
	}
});

Then('it uses its full quota, and in no window more than the quota and its tolerance', function (this: QuotaWorld) {
	for (const model of this.models) {
		const used = model.uses.reduce((sum, {cost}) => sum + cost, 0);
		assert.ok(used >= SMALL_QUOTA.perSecond * TRAFFIC_MS / MS_PER_SECOND, `${used}`);
		assert.ok(model.getMaxUsed(SMALL_TOLERANCE.windowMs) <= getMaxInWindow(SMALL_QUOTA, SMALL_TOLERANCE));
	}
});

Then('at most half of the requests without a leader are refused', function (this: QuotaWorld) {
	const sentLeaderless = this.counts.reduce((sum, counts) => sum + counts.sentLeaderless, 0);
	const refusedLeaderless = this.counts.reduce((sum, counts) => sum + counts.refusedLeaderless, 0);
	assert.ok(sentLeaderless > 0);
	assert.ok(refusedLeaderless <= sentLeaderless / 2, `${refusedLeaderless} of ${sentLeaderless}`);
});

/** Tolerance with which the leader lends requests to an upstream that limits their rate. */
const LIMIT_TOLERANCE: QuotaTolerance = {windowMs: 4000, overshoot: 0.25, slack: 3};

/** An upstream that announces a limit gets, within a window, at most the limit times this factor, and `LIMIT_SLACK` requests more. */
const LIMIT_OVERSHOOT = 1.5;
const LIMIT_SLACK = 5;

const getMaxAtLimit = ({perSecond}: Quota): number => (LIMIT_OVERSHOOT * perSecond * LIMIT_TOLERANCE.windowMs / MS_PER_SECOND) + LIMIT_SLACK;

Given('an upstream with a limit of {float} requests per second, lent with the tolerance for limits', function (this: QuotaWorld, perSecond: number) {
	this.quota = {
		unit: QUOTA_UNIT.Request, perSecond, burst: 0, plainTokens: 0,
	};
	this.tolerance = LIMIT_TOLERANCE;
});

Then('in {int} random histories with {int} gateways it gets no more than 1.5 times its limit and 5 requests in any {int} ms', {timeout: 60_000}, function (
	this: QuotaWorld,
	runs: number,
	gateways: number,
	spanMs: number,
) {
	const {quota, tolerance} = this;
	fc.assert(fc.property(fc.array(MODEL_STEP, {minLength: 10, maxLength: HISTORY_STEPS, size: 'max'}), steps => {
		const model = new QuotaModel(gateways, quota, tolerance);
		// Each request costs one unit, whatever the generated cost is.
		replayHistory(model, steps.map(step => 'costs' in step ? {...step, costs: step.costs.map(() => 1)} : step));
		assert.ok(model.getMaxUsed(spanMs) <= getMaxAtLimit(quota));
	}), {numRuns: runs, seed: SEED});
});

When('requests at {int} times the limit arrive one by one at {int} gateways', function (this: QuotaWorld, share: number, gateways: number) {
	this.models = Array.from({length: TRAFFIC_RUNS}, () => new QuotaModel(gateways, this.quota, this.tolerance));
	this.counts = this.models.map((model, run) => simulateTraffic(model, {
		random: xoroshiro128plus(SEED + run),
		perSecond: share * this.quota.perSecond,
		cost: 1,
		batchSize: 1,
		durationMs: TRAFFIC_MS,
		leaderless: {from: TRAFFIC_MS, durationMs: 0},
	}));
});

Then('it gets at least {float} of its limit, and no more than 1.5 times its limit and 5 requests in any {int} ms', function (this: QuotaWorld, least: number, spanMs: number) {
	const taken = this.quota.perSecond * (TRAFFIC_MS - LOAN_MS) / MS_PER_SECOND;
	for (const model of this.models) {
		// A new leader starts with empty buckets and lends only a part of their capacity until the loans of the previous leader have expired.
		const used = model.uses.filter(({at}) => at >= LOAN_MS).length;
		assert.ok(used >= least * taken, `${used} of ${taken}`);
		assert.ok(model.getMaxUsed(spanMs) <= getMaxAtLimit(this.quota));
	}
});
