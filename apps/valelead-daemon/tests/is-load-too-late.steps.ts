import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type Demand, type GatewayRequest, ExpectedRetries, isLoadTooLate, newDemand,
} from 'valelead-daemon';

type LateLoadWorld = {
	objectiveMs: number;
	patienceMs: number;
	timeMs: number;
	isGivenUp: boolean;
	demand: Demand;
	returns: ExpectedRetries;
};

const ARRIVED_AT = 1000;

const getDemand = ({objectiveMs, patienceMs}: LateLoadWorld, timeMs: number): Demand => {
	const request: Pick<GatewayRequest, 'arrivedAt' | 'lastChunkAt' | 'deadlineAt' | 'service' | 'target'> & {readonly head: object; readonly route: object} = {
		arrivedAt: ARRIVED_AT,
		lastChunkAt: ARRIVED_AT,
		deadlineAt: ARRIVED_AT + timeMs,
		service: 'llm',
		target: 'llm/a',
		head: {model: 'a', adapter: ''},
		route: {objectiveMs, callerPatienceMs: patienceMs, priority: 0},
	};
	return newDemand(request as GatewayRequest);
};

const decide = (world: LateLoadWorld, timeMs: number, waitedMs: number, forecastMs: number): boolean => isLoadTooLate(getDemand(world, timeMs), forecastMs, ARRIVED_AT + waitedMs);

Given('a route with an objective of {int} ms whose callers leave after {int} ms, and a timeout of {int} ms', function (this: LateLoadWorld, objectiveMs: number, patienceMs: number, timeMs: number) {
	this.objectiveMs = objectiveMs;
	this.patienceMs = patienceMs;
	this.timeMs = timeMs;
});

When('a request has waited for {int} ms and its model is expected in {int} ms', function (this: LateLoadWorld, waitedMs: number, forecastMs: number) {
	this.isGivenUp = decide(this, this.timeMs, waitedMs, forecastMs);
});

When('a request with a timeout of {int} ms has waited for {int} ms and its model is expected in {int} ms', function (this: LateLoadWorld, timeMs: number, waitedMs: number, forecastMs: number) {
	this.isGivenUp = decide(this, timeMs, waitedMs, forecastMs);
});

Then('the decision about it is {string}', function (this: LateLoadWorld, decision: string) {
	assert.equal(this.isGivenUp, decision === 'given up');
});

When('a refused caller is given a Retry-After time of {int} ms', function (this: LateLoadWorld, returnMs: number) {
	this.demand = getDemand(this, this.timeMs);
	this.returns = new ExpectedRetries();
	this.returns.add(this.demand, ARRIVED_AT + returnMs);
});

When('a refused caller is expected to return after {int} ms and to leave after {int} ms', function (this: LateLoadWorld, returnsInMs: number, leavesInMs: number) {
	this.demand = getDemand(this, this.timeMs);
	this.returns = new ExpectedRetries();
	this.returns.addReturn(this.demand, {
		retryAfterMs: returnsInMs, returnsInMs, leavesInMs, isInTime: true,
	}, ARRIVED_AT);
});

Then('its model is still needed after {int} ms, first due at the same time, for a caller that leaves after {int} ms', function (this: LateLoadWorld, afterMs: number, leavesInMs: number) {
	assert.deepEqual(this.returns.getDemands(ARRIVED_AT + afterMs), [{...this.demand, leavesAt: ARRIVED_AT + leavesInMs}]);
});

Then('its model is still needed after {int} ms, for a caller that leaves {int} ms after its retry is due', function (this: LateLoadWorld, afterMs: number, leavesMs: number) {
	const [demand] = this.returns.getDemands(ARRIVED_AT + afterMs);
	assert.equal(demand.target, this.demand.target);
	assert.equal(demand.dueAt, this.demand.dueAt);
	assert.equal(demand.leavesAt, ARRIVED_AT + 4000 + leavesMs);
});

Then('its model is no longer needed after {int} ms', function (this: LateLoadWorld, afterMs: number) {
	assert.deepEqual(this.returns.getDemands(ARRIVED_AT + afterMs), []);
});
