import assert from 'node:assert/strict';
import {setImmediate as nextIteration} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TimerService} from '@valelead/common';
import {StallWatch} from 'valelead-daemon';

type StallWorld = {
	now: number;
	fire: () => void;
	stalls: StallWatch;
	/** How often the input that arrived during a stall had been read. */
	readCount: number;
};

const PERIOD_MS = 50;

/** More iterations of the event loop than it takes to read what has arrived. */
const ITERATIONS = 3;

const fireOnTime = (world: StallWorld, times: number): void => {
	for (let fired = 0; fired < times; fired += 1) {
		world.now += PERIOD_MS;
		world.fire();
	}
};

Given('a process whose timers fire on time', function (this: StallWorld) {
	this.now = 0;
	const timers = {
		repeat: (periodMs: number, fire: () => void) => {
			assert.equal(periodMs, PERIOD_MS);
			this.fire = fire;
		},
	};
	this.readCount = 0;
	this.stalls = new StallWatch({now: () => this.now, wallNow: () => this.now}, timers as unknown as TimerService, undefined, () => {
		assert.equal(this.stalls.isInputUnread, false);
		this.readCount += 1;
	});
	fireOnTime(this, 10);
});

When('no timer fires for {int} ms', function (this: StallWorld, ms: number) {
	this.now += ms;
});

When('a timer fires', function (this: StallWorld) {
	this.fire();
});

When('timers fire on time {int} times', function (this: StallWorld, times: number) {
	fireOnTime(this, times);
});

Then('its input is current', function (this: StallWorld) {
	assert.equal(this.stalls.isStalled, false);
});

Then('its input may be stale', function (this: StallWorld) {
	assert.equal(this.stalls.isStalled, true);
});

When('a timer fires {int} times, each after {int} ms, and what has arrived is read each time', async function (this: StallWorld, times: number, ms: number) {
	for (let fired = 0; fired < times; fired += 1) {
		this.now += ms;
		this.fire();
		assert.equal(this.stalls.isInputUnread, true);
		for (let iteration = 0; iteration < ITERATIONS; iteration += 1) {
			await nextIteration();
		}
	}
});

Then('its input has been read', function (this: StallWorld) {
	assert.equal(this.stalls.isInputUnread, false);
});

Then('its input may lie unread', function (this: StallWorld) {
	assert.equal(this.stalls.isInputUnread, true);
});

Then('it was told so {int} times', function (this: StallWorld, times: number) {
	assert.equal(this.readCount, times);
});
