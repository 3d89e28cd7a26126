import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {newRandom} from '../../../tests/support/new-random.js';
import {
	type SpeedState, getEngineSpeed, getSpeedFactors, mutateEngineSpeed, newSpeedState,
} from '@valelead/residency';

type SpeedWorld = {
	speed: {
		state: SpeedState;
		now: number;
		eventsPerSecond: number;
		gapMs: number;
		others: number;
	};
	sets: Array<ReadonlyMap<string, number>>;
};

const MS_PER_SECOND = 1000;
const ENGINE = 'engine';

/** How far equal engines may differ, as in the requirement. */
const EQUAL_RATIO = 1.25;

const report = ({speed}: SpeedWorld, gaps: number, gapMs: number): void => {
	mutateEngineSpeed(speed.state, {
		gapMs, gaps, firstEventMs: 0, firstEvents: 0,
	}, speed.now);
};

/** Sends events one by one; a slow engine sends fewer of them. */
const sendEvents = (world: SpeedWorld, slowness: number, forMs: number): void => {
	const {speed} = world;
	const endsAt = speed.now + forMs;
	const intervalMs = MS_PER_SECOND * slowness / speed.eventsPerSecond;
	for (speed.now += intervalMs; speed.now <= endsAt; speed.now += intervalMs) {
		report(world, 1, speed.gapMs * slowness);
	}

	speed.now = endsAt;
};

const getFactor = ({speed}: SpeedWorld): number => {
	const others = Array.from({length: speed.others}, (_, index) => [`other ${index}`, speed.gapMs] as const);
	return getSpeedFactors(new Map([...others, [ENGINE, getEngineSpeed(speed.state, speed.now).eventGapMs]])).get(ENGINE) ?? 1;
};

Given('an engine that sends {int} events a second with {int} ms between them, and {int} others as fast', function (this: SpeedWorld, eventsPerSecond: number, gapMs: number, others: number) {
	this.speed = {
		state: newSpeedState(), now: 0, eventsPerSecond, gapMs, others,
	};
});

When('it has sent events for {int} ms', function (this: SpeedWorld, forMs: number) {
	sendEvents(this, 1, forMs);
});

When('it is {float} times as slow for {int} ms', function (this: SpeedWorld, slowness: number, forMs: number) {
	sendEvents(this, slowness, forMs);
});

When('it gets no requests for {int} ms', function (this: SpeedWorld, forMs: number) {
	this.speed.now += forMs;
});

When('{int} gaps of {int} ms are reported', function (this: SpeedWorld, gaps: number, gapMs: number) {
	report(this, gaps, gaps * gapMs);
});

Then('it counts as fast as the others', function (this: SpeedWorld) {
	assert.notEqual(getEngineSpeed(this.speed.state, this.speed.now).eventGapMs, 0);
	assert.equal(getFactor(this), 1);
});

Then('it counts as at least {float} times as slow as the others', function (this: SpeedWorld, factor: number) {
	assert.ok(getFactor(this) >= factor, `${getFactor(this)}`);
});

Then('it counts as at most {float} times as slow as the others', function (this: SpeedWorld, factor: number) {
	assert.ok(getFactor(this) <= factor, `${getFactor(this)}`);
});

Then('its speed is not known', function (this: SpeedWorld) {
	assert.deepEqual(getEngineSpeed(this.speed.state, this.speed.now), {eventGapMs: 0, firstEventMs: 0});
});

Given('{int} random sets of engines within 1.25 of each other', function (this: SpeedWorld, count: number) {
	const random = newRandom(1);
	this.sets = Array.from({length: count}, () => {
		const leastMs = 5 + (random() * 100);
		const engines = 1 + Math.floor(random() * 40);
		return new Map(Array.from({length: engines}, (_, index) => [`engine ${index}`, leastMs * (1 + (random() * (EQUAL_RATIO - 1)))]));
	});
});

Then('all engines of each set count as equally fast', function (this: SpeedWorld) {
	for (const gaps of this.sets) {
		assert.deepEqual([...getSpeedFactors(gaps)], []);
	}
});

Given('engines with gaps of {} ms', function (this: SpeedWorld, gaps: string) {
	this.sets = [new Map(gaps.split(', ').map((gap, index) => [`engine ${index}`, Number(gap)]))];
});

Then('their factors are {}', function (this: SpeedWorld, factors: string) {
	const found = getSpeedFactors(this.sets[0]);
	assert.deepEqual([...this.sets[0].keys()].map(id => Math.round((found.get(id) ?? 1) * 100) / 100), factors.split(', ').map(Number));
});
