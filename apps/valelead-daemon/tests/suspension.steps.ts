import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {SuspensionWatch, TimerService} from '@valelead/common';
import {pino} from 'pino';
import {EngineManagers, RoutingConfirmation} from 'valelead-daemon';

type SuspensionWorld = {
	clocks: {now: number; wall: number};
	watch: SuspensionWatch;
	keepers: EngineManagers | undefined;
	confirmation: RoutingConfirmation;
	askedAt: number;
	reportedAt: number;
	lease: {engineAddress: string; fence: number; startsInMs: number};
};

/** The codec is not used, as no order is sent to an engine. */
const NO_CODEC = undefined as never;

/** Start of the wall clock, some days after the epoch. */
const WALL_START_MS = 1_000_000_000;

After(function (this: SuspensionWorld) {
	this.keepers?.stop();
});

Given('a process whose clocks have advanced together for {int} ms', function (this: SuspensionWorld, ms: number) {
	this.clocks = {now: 0, wall: WALL_START_MS};
	this.watch = new SuspensionWatch({now: () => this.clocks.now, wallNow: () => this.clocks.wall});
	this.clocks.now += ms;
	this.clocks.wall += ms;
	assert.equal(this.watch.resumedAt, Number.NEGATIVE_INFINITY);
});

When('the monotonic clock advances by {int} ms and the wall clock by {int} ms', function (this: SuspensionWorld, monotonic: number, wall: number) {
	this.clocks.now += monotonic;
	this.clocks.wall += wall;
	// Reads the watch after each step, as a running process does.
	assert.ok(this.watch.lostMs >= 0);
});

Then('a suspension is noticed', function (this: SuspensionWorld) {
	assert.equal(this.watch.resumedAt, this.clocks.now);
	assert.ok(this.watch.lostMs > 0);
});

Then('a suspension is not noticed', function (this: SuspensionWorld) {
	assert.equal(this.watch.resumedAt, Number.NEGATIVE_INFINITY);
	assert.equal(this.watch.lostMs, 0);
});

Given('a holder of an order lease on {string} that the leader has just confirmed', function (this: SuspensionWorld, engineAddress: string) {
	// Timers never fire, so nothing is sent.
	const wakeups = {set: () => undefined, clear: () => undefined};
	const clock = {now: () => this.clocks.now, wallNow: () => this.clocks.wall};
	this.keepers = new EngineManagers({
		holder: 'g1',
		keeperAddress: '10.0.0.9:1',
		concurrentStoreLoads: 1,
		codec: NO_CODEC,
		timers: new TimerService(clock, wakeups),
		clock,
		suspensions: this.watch,
		logger: pino({level: 'silent'}),
	});
	this.lease = {engineAddress, fence: 1, startsInMs: 0};
	this.reportedAt = this.clocks.now;
	this.keepers.take({
		leases: [this.lease as never], reportedAt: this.reportedAt, ordersFromMs: 0, holdersKnownInMs: 0,
	});
});

When('a reply to a report from before the suspension arrives', function (this: SuspensionWorld) {
	this.clocks.now += 1;
	this.clocks.wall += 1;
	this.keepers!.take({
		leases: [this.lease as never], reportedAt: this.reportedAt, ordersFromMs: 0, holdersKnownInMs: 0,
	});
});

When('the leader replies to a report made now', function (this: SuspensionWorld) {
	this.keepers!.take({
		leases: [this.lease as never], reportedAt: this.clocks.now, ordersFromMs: 0, holdersKnownInMs: 0,
	});
});

Then('the holder reports no lease', function (this: SuspensionWorld) {
	assert.deepEqual(this.keepers!.getReport().leases, []);
});

Then('the holder reports its lease', function (this: SuspensionWorld) {
	assert.deepEqual(this.keepers!.getReport().leases, [this.lease]);
});

const newConfirmation = (world: SuspensionWorld, revokeMs: number): RoutingConfirmation => {
	const clock = {now: () => world.clocks.now, wallNow: () => world.clocks.wall};
	return new RoutingConfirmation(clock, world.watch, revokeMs);
};

Given('its routing was just confirmed, and revoked keys must not be accepted after {int} ms', function (this: SuspensionWorld, revokeMs: number) {
	this.confirmation = newConfirmation(this, revokeMs);
	this.confirmation.confirm(this.clocks.now);
});

Given('it asks for a confirmation of its routing, and revoked keys must not be accepted after {int} ms', function (this: SuspensionWorld, revokeMs: number) {
	this.confirmation = newConfirmation(this, revokeMs);
	this.askedAt = this.clocks.now;
});

When('the confirmation of its routing arrives', function (this: SuspensionWorld) {
	this.confirmation.confirm(this.askedAt);
});

Then('its routing is fresh', function (this: SuspensionWorld) {
	assert.ok(this.confirmation.isFresh);
});

Then('its routing is not fresh', function (this: SuspensionWorld) {
	assert.ok(!this.confirmation.isFresh);
});

Then('without a limit for revoked keys it is fresh', function (this: SuspensionWorld) {
	assert.ok(newConfirmation(this, 0).isFresh);
});
