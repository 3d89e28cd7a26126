import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TimerService} from '@valelead/common';
import {StallWatch} from 'valelead-daemon';

type StallWorld = {
	now: number;
	fire: () => void;
	stalls: StallWatch;
};

const PERIOD_MS = 50;

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
	this.stalls = new StallWatch({now: () => this.now, wallNow: () => this.now}, timers as unknown as TimerService);
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
