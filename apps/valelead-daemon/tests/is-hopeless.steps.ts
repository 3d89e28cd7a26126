import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type GatewayRequest, isHopeless} from 'valelead-daemon';

type HopelessWorld = {
	objectiveMs: number;
	patienceMs: number;
	timeMs: number;
	isGivenUp: boolean;
};

const ARRIVED_AT = 1000;

const decide = ({objectiveMs, patienceMs}: HopelessWorld, timeMs: number, waitedMs: number, forecastMs: number): boolean => {
	const request: Pick<GatewayRequest, 'arrivedAt' | 'deadlineAt'> & {readonly route: object} = {
		arrivedAt: ARRIVED_AT, deadlineAt: ARRIVED_AT + timeMs, route: {objectiveMs, patienceMs},
	};
	return isHopeless(request as GatewayRequest, forecastMs, ARRIVED_AT + waitedMs);
};

Given('a route with an objective of {int} ms whose callers leave after {int} ms, and {int} ms of time', function (this: HopelessWorld, objectiveMs: number, patienceMs: number, timeMs: number) {
	this.objectiveMs = objectiveMs;
	this.patienceMs = patienceMs;
	this.timeMs = timeMs;
});

When('a request has waited for {int} ms and its model is expected in {int} ms', function (this: HopelessWorld, waitedMs: number, forecastMs: number) {
	this.isGivenUp = decide(this, this.timeMs, waitedMs, forecastMs);
});

When('a request with {int} ms of time has waited for {int} ms and its model is expected in {int} ms', function (this: HopelessWorld, timeMs: number, waitedMs: number, forecastMs: number) {
	this.isGivenUp = decide(this, timeMs, waitedMs, forecastMs);
});

Then('the decision about it is {string}', function (this: HopelessWorld, decision: string) {
	assert.equal(this.isGivenUp, decision === 'given up');
});
