import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {ModelInstallation} from './model-installation.js';
import {MODEL_STEP} from './model-step.js';
import {
	type ReportedLease, type LeaseCandidate, type LeaseState, getHoldersKnownInMs, getVmLeases, getSidecarDelayMs, mutateEndedLease, mutateLeases, newLeaseState,
} from '@valelead/order-lease';

type LeaseWorld = {
	state: LeaseState;
	gapMs: number;
	/** The fencing tokens of all leases, in the order in which they were granted. */
	fences: number[];
	held: Map<string, ReportedLease[]>;
	/** Gateways that have reported that they are stopping. */
	stopping: Set<string>;
};

const REPORT_MS = 500;

const split = (text: string): string[] => text.split(', ');

const newCandidate = (world: LeaseWorld, vm: string, reportedAt: number): LeaseCandidate => ({
	vm, reportedAt, leases: world.held.get(vm) ?? [], isStopping: world.stopping.has(vm),
});

Given('a leader that begins at {int} ms and an order gap of {int} ms', function (this: LeaseWorld, startedAt: number, gapMs: number) {
	this.state = newLeaseState(1, startedAt);
	this.gapMs = gapMs;
	this.fences = [];
	this.held = new Map();
	this.stopping = new Set();
});

When('engine(s) {string} and gateway(s) {string} report from {int} ms to {int} ms', function (this: LeaseWorld, engines: string, gateways: string, from: number, to: number) {
	for (let now = from; now <= to; now += REPORT_MS) {
		const candidates = split(gateways).map(vm => newCandidate(this, vm, now));
		const granted = mutateLeases(this.state, {orderGapMs: this.gapMs}, {addresses: new Set(split(engines)), candidates}, now);
		this.fences.push(...granted.map(lease => lease.fence));
	}
});

When('gateway {string} reports that it is stopping', function (this: LeaseWorld, vm: string) {
	this.stopping.add(vm);
});

When('the sidecar of {string} reports', function (this: LeaseWorld, engine: string) {
	this.state.enginesWithSidecar.add(engine);
});

When('a leader of a later term begins at {int} ms', function (this: LeaseWorld, startedAt: number) {
	this.state = newLeaseState(2, startedAt);
});

When('{string} reports a lease of {string} with fencing token {int}', function (this: LeaseWorld, vm: string, address: string, fence: number) {
	this.held.set(vm, [{address, fence, startsInMs: 0}]);
});

When('a holder reports at {int} ms that its lease of {string} ended {int} ms ago', function (this: LeaseWorld, now: number, address: string, agoMs: number) {
	mutateEndedLease(this.state, address, now - agoMs);
});

Then('{string} is held by one of {string}, who may order from {int} ms on', function (this: LeaseWorld, engine: string, vms: string, startsAt: number) {
	const lease = this.state.leases.get(engine)!;
	assert.ok(split(vms).includes(lease.vm), lease.vm);
	assert.equal(lease.startsAt, startsAt);
	assert.deepEqual(getVmLeases(this.state, lease.vm).map(({address}) => address), [engine]);
});

Then('{string} may be ordered from {int} ms on', function (this: LeaseWorld, engine: string, startsAt: number) {
	assert.equal(this.state.leases.get(engine)?.startsAt, startsAt);
});

Then('{string} is held by nobody', function (this: LeaseWorld, engine: string) {
	const lease = this.state.leases.get(engine);
	assert.deepEqual(lease ? getVmLeases(this.state, lease.vm) : [], []);
});

Then('each of {string} holds {int} engines', function (this: LeaseWorld, vms: string, count: number) {
	for (const vm of split(vms)) {
		assert.equal(getVmLeases(this.state, vm).length, count, vm);
	}
});

Then('its fencing token is higher than that of the previous holder', function (this: LeaseWorld) {
	assert.equal(this.fences.length, 2);
	assert.ok(this.fences[1] > this.fences[0]);
});

Then('at {int} ms the sidecar of {string} waits for {int} ms', function (this: LeaseWorld, now: number, engine: string, waitMs: number) {
	assert.equal(getSidecarDelayMs(this.state, {orderGapMs: this.gapMs}, engine, now), waitMs);
});

Then('at {int} ms it knows the previous holders in {int} ms, and at {int} ms in {int} ms', function (this: LeaseWorld, first: number, firstMs: number, second: number, secondMs: number) {
	assert.equal(getHoldersKnownInMs(this.state, first), firstMs);
	assert.equal(getHoldersKnownInMs(this.state, second), secondMs);
});

When('{int} random histories of reports, lost messages, restarts and leader changes are run', {timeout: 30_000}, (runs: number) => {
	fc.assert(fc.property(fc.array(MODEL_STEP, {minLength: 5, maxLength: 40}), steps => {
		const installation = new ModelInstallation();
		for (const step of steps) {
			installation.play(step);
		}
	}), {numRuns: runs, seed: 21});
});

Then('no engine received orders from two holders within the gap or with a decreasing fencing token', () => undefined);
