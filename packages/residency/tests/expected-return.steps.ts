import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type ExpectedReturn, type LoadCandidate, type LoadTimes, getExpectedReturn, getForecastReadyMs,
} from '@valelead/residency';

type ReturnWorld = {
	expected: ExpectedReturn;
	candidate: LoadCandidate;
	times: LoadTimes;
};

When('a load is forecast in {int} ms for a caller with a deadline in {int} ms that waits for {int} ms', function (
	this: ReturnWorld,
	forecastMs: number,
	deadlineInMs: number,
	patienceMs: number,
) {
	this.expected = getExpectedReturn({forecastMs, deadlineInMs, patienceMs});
});

Then('the caller is told to return after {int} ms', function (this: ReturnWorld, toldMs: number) {
	assert.equal(this.expected.retryAfterMs, toldMs);
});

Then('it is expected after {int} ms and leaves after {int} ms', function (this: ReturnWorld, returnsMs: number, leavesMs: number) {
	assert.equal(this.expected.returnsInMs, returnsMs);
	assert.equal(this.expected.leavesInMs, leavesMs);
});

Given('an engine with {string}, copies of other models, {int} ms of a load in progress and {int} ms of queued loads', function (
	this: ReturnWorld,
	source: string,
	busyMs: number,
	queueMs: number,
) {
	this.candidate = {
		upstreamId: 'e1',
		isLoaded: false,
		hasMemoryCopy: source === 'a memory copy',
		hasDiskCopy: source === 'a disk copy',
		copyShare: 1,
		isEvictionBlocked: false,
		remainingMs: undefined,
		isStarted: false,
		busyMs,
		queueMs,
		slotUtilization: 0,
	};
});

When('the model takes {int} ms from the store, {int} ms from disk and {int} ms from memory', function (
	this: ReturnWorld,
	storeLoadMs: number,
	diskLoadMs: number,
	memoryLoadMs: number,
) {
	this.times = {storeLoadMs, diskLoadMs, memoryLoadMs};
});

Then('it is forecast in {int} ms', function (this: ReturnWorld, forecastMs: number) {
	assert.equal(getForecastReadyMs(this.candidate, this.times), forecastMs);
});
