import assert from 'node:assert/strict';
import {
	Before, Given, Then, When,
} from '@cucumber/cucumber';
import {
	type EngineCopyCount, type StoreEstimate, getFreeFetchers, getSharedEstimate, mutateStoreEstimate, newStoreEstimate,
} from '@valelead/residency';

type Fetch = {
	readonly upstreamId: string;
	readonly startedAt: number;
	/** The progress of the fetch, in milliseconds of a fetch at full speed. */
	servedMs: number;
};

type EstimateWorld = {
	sustained: number;
	estimate: StoreEstimate;
	fetches: Fetch[];
	now: number;
	startedCount: number;
	servedMs: number;
	/** The highest estimate in each step. */
	history: number[];
	shared: number;
	engines: EngineCopyCount[];
	fetching: Set<string>;
	fetchers: ReadonlySet<string>;
};

const STEP_MS = 50;
const LOAD_MS = 10_000;
const PACE_STEP = 0.25;

Before(function (this: EstimateWorld) {
	Object.assign(this, {
		estimate: newStoreEstimate(), fetches: [], now: 0, startedCount: 0, servedMs: 0, history: [],
	});
});

Given('a store that sustains {int} concurrent fetches of 10 s', function (this: EstimateWorld, sustained: number) {
	this.sustained = sustained;
});

When('the store then sustains {int} concurrent fetches', function (this: EstimateWorld, sustained: number) {
	this.sustained = sustained;
});

/** Updates the estimate with the paces as engines report them: in steps, and never 0. */
const observe = (world: EstimateWorld, hasDelivered: boolean): void => {
	const observed = world.fetches.map(({upstreamId, startedAt}) => ({
		upstreamId, model: upstreamId, pace: Math.max(1, Math.floor((world.now - startedAt) / LOAD_MS / PACE_STEP)) * PACE_STEP,
	}));
	mutateStoreEstimate(world.estimate, observed, () => hasDelivered);
	world.history.push(world.estimate.maxFetches);
};

const startFetches = (world: EstimateWorld): void => {
	while (world.fetches.length < world.estimate.maxFetches) {
		world.startedCount += 1;
		world.fetches.push({upstreamId: `e${world.startedCount}`, startedAt: world.now, servedMs: 0});
	}
};

const serve = (world: EstimateWorld): void => {
	const progressMs = STEP_MS * Math.min(1, world.sustained / Math.max(1, world.fetches.length));
	for (const fetch of world.fetches) {
		fetch.servedMs += progressMs;
		world.servedMs += progressMs;
	}

	world.fetches = world.fetches.filter(({servedMs}) => servedMs < LOAD_MS);
};

When('engines fetch up to the estimate for {int} s', function (this: EstimateWorld, seconds: number) {
	const endsAt = this.now + (seconds * 1000);
	while (this.now < endsAt) {
		this.now += STEP_MS;
		serve(this);
		observe(this, true);
		startFetches(this);
	}
});

When('{int} engines begin to fetch and crash after {int} s', function (this: EstimateWorld, count: number, seconds: number) {
	assert.equal(this.estimate.maxFetches, count);
	startFetches(this);
	observe(this, true);
	this.now += seconds * 1000;
	observe(this, true);
	this.fetches = [];
	observe(this, false);
});

Then('the estimate is at most {int}', function (this: EstimateWorld, most: number) {
	assert.ok(this.estimate.maxFetches <= most, `${this.estimate.maxFetches}`);
});

Then('the estimate is at least {int}', function (this: EstimateWorld, least: number) {
	assert.ok(this.estimate.maxFetches >= least, `${this.estimate.maxFetches}`);
});

Then('the estimate has been at most {int} for the last {int} s', function (this: EstimateWorld, most: number, seconds: number) {
	const highest = Math.max(...this.history.slice(-seconds * 1000 / STEP_MS));
	assert.ok(highest <= most, `${highest}`);
});

Then('the store has delivered at least {float} of what it can', function (this: EstimateWorld, share: number) {
	assert.ok(this.servedMs >= share * this.sustained * this.now, `${this.servedMs / this.sustained / this.now}`);
});

When('the processes report estimates {string}', function (this: EstimateWorld, reported: string) {
	this.shared = getSharedEstimate(reported.split(', ').filter(Boolean).map(Number));
});

Then('the shared estimate is {int}', function (this: EstimateWorld, shared: number) {
	assert.equal(this.shared, shared);
});

Given('{int} engines with as many copies each', function (this: EstimateWorld, count: number) {
	this.engines = Array.from({length: count}, (_, index) => ({upstreamId: `e${index}`, copies: 20}));
});

When('{int} of them is/are fetching from a store that sustains {int} fetches', function (this: EstimateWorld, count: number, sustained: number) {
	this.fetching = new Set(this.engines.slice(0, count).map(engine => engine.upstreamId));
	this.fetchers = getFreeFetchers(this.engines, sustained, this.fetching);
});

Then('only those {int} may fetch', function (this: EstimateWorld, count: number) {
	assert.equal(this.fetching.size, count);
	assert.deepEqual(this.fetchers, this.fetching);
});

Then('that one and {int} other may fetch', function (this: EstimateWorld, count: number) {
	assert.equal(this.fetchers.size, this.fetching.size + count);
	assert.ok([...this.fetching].every(upstreamId => this.fetchers.has(upstreamId)));
});
