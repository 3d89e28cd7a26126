import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type StoreConcurrencyLimit, mutateStoreConcurrencyLimit, newStoreConcurrencyLimit} from '@valelead/residency';

type Fetch = {
	readonly upstreamId: string;
	readonly startedAt: number;
	/** The progress of the fetch, in milliseconds of a fetch at full speed. */
	servedMs: number;
};

type StoreWorld = {
	storeCapacity: number;
	loadMs: number;
	/** The factor by which busy engines prolong a fetch, even if the store serves it at full speed. */
	slowness: number;
	limit: StoreConcurrencyLimit;
	fetches: Fetch[];
	now: number;
	servedMs: number;
	capacityMs: number;
	startedCount: number;
};

const MS_PER_SECOND = 1000;
const STEP_MS = 50;
const PACE_STEP = 0.25;

const setStore = (world: StoreWorld, storeCapacity: number, seconds: number, slowness: number): void => {
	Object.assign(world, {
		storeCapacity, loadMs: seconds * MS_PER_SECOND, slowness, limit: newStoreConcurrencyLimit(), fetches: [], now: 0, servedMs: 0, capacityMs: 0, startedCount: 0,
	});
};

Given('a weight store that serves {int} concurrent fetches of {int} s at full speed', function (this: StoreWorld, storeCapacity: number, seconds: number) {
	setStore(this, storeCapacity, seconds, 1);
});

Given('a weight store that serves {int} concurrent fetches of {int} s at full speed, on engines that take {float} times as long', function (
	this: StoreWorld,
	storeCapacity: number,
	seconds: number,
	slowness: number,
) {
	setStore(this, storeCapacity, seconds, slowness);
});

When('the store now serves {int} concurrent fetches at full speed', function (this: StoreWorld, storeCapacity: number) {
	this.storeCapacity = storeCapacity;
});

/** The pace as engines report it: in steps of `PACE_STEP`, and never 0. */
const getPace = (world: StoreWorld, {startedAt}: Fetch): number => Math.max(1, Math.floor((world.now - startedAt) / world.loadMs / PACE_STEP)) * PACE_STEP;

const serve = (world: StoreWorld): void => {
	const speed = Math.min(1, world.storeCapacity / Math.max(1, world.fetches.length)) / world.slowness;
	for (const fetch of world.fetches) {
		fetch.servedMs += speed * STEP_MS;
	}

	world.servedMs += speed * STEP_MS * world.fetches.length;
	world.capacityMs += world.storeCapacity * STEP_MS / world.slowness;
	world.fetches = world.fetches.filter(({servedMs}) => servedMs < world.loadMs);
};

const step = (world: StoreWorld): void => {
	world.now += STEP_MS;
	serve(world);
	mutateStoreConcurrencyLimit(world.limit, world.fetches.map(fetch => ({upstreamId: fetch.upstreamId, model: fetch.upstreamId, pace: getPace(world, fetch)})));
	while (world.fetches.length < world.limit.maxFetches) {
		world.startedCount += 1;
		world.fetches.push({upstreamId: `e${world.startedCount}`, startedAt: world.now, servedMs: 0});
	}
};

When('engines fetch up to the estimated limit for {int} seconds', function (this: StoreWorld, seconds: number) {
	const endsAt = this.now + (seconds * MS_PER_SECOND);
	while (this.now < endsAt) {
		step(this);
	}
});

Then('the estimated limit is between {int} and {int} at the end', function (this: StoreWorld, least: number, most: number) {
	assert.ok(this.limit.maxFetches >= least && this.limit.maxFetches <= most, `${this.limit.maxFetches}`);
});

Then('the store has used at least {float} of its capacity', function (this: StoreWorld, share: number) {
	assert.ok(this.servedMs >= share * this.capacityMs, `${this.servedMs / this.capacityMs}`);
});
