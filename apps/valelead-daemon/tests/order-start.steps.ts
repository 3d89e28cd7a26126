import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {getOrderStart} from 'valelead-daemon';

type OrderWorld = {
	ordersFrom: number | undefined;
};

Given('a sidecar that has had no leader', function (this: OrderWorld) {
	this.ordersFrom = undefined;
});

Given('a sidecar that must wait until {int} ms', function (this: OrderWorld, at: number) {
	this.ordersFrom = at;
});

Given('a sidecar that may send orders since {int} ms', function (this: OrderWorld, at: number) {
	this.ordersFrom = at;
});

When('it receives at {int} ms a delay of {int} ms, with holders known in {int} ms', function (this: OrderWorld, now: number, ordersFromMs: number, holdersKnownInMs: number) {
	this.ordersFrom = getOrderStart(this.ordersFrom, {ordersFromMs, holdersKnownInMs}, now);
});

Then('it may send orders from {int} ms on', function (this: OrderWorld, at: number) {
	assert.equal(this.ordersFrom, at);
});
