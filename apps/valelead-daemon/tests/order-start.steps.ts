import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {getOrderStart} from 'valelead-daemon';

type OrderWorld = {
	ordersFrom: number | undefined;
};

Given('a sidecar that has heard no leader', function (this: OrderWorld) {
	this.ordersFrom = undefined;
});

Given('a sidecar that waits until {int} ms', function (this: OrderWorld, at: number) {
	this.ordersFrom = at;
});

Given('a sidecar that has begun at {int} ms', function (this: OrderWorld, at: number) {
	this.ordersFrom = at;
});

When('a leader tells it at {int} ms to wait {int} ms, and that the holders are known in {int} ms', function (this: OrderWorld, now: number, ordersFromMs: number, holdersKnownInMs: number) {
	this.ordersFrom = getOrderStart(this.ordersFrom, {ordersFromMs, holdersKnownInMs}, now);
});

Then('it orders from {int} ms on', function (this: OrderWorld, at: number) {
	assert.equal(this.ordersFrom, at);
});
