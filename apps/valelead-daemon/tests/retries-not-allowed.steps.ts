import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {ROUTE_KIND} from '@valelead/routing';
import {PlainGateway} from './plain-gateway.js';

type RetriesWorld = {
	gateway: PlainGateway;
	requests: number;
};

/** Longer than the timeout of the route, in milliseconds. */
const PLAY_MS = 6000;

Given('a gateway that may send {int} retries, with two upstreams that answer {int} after {int} ms', function (this: RetriesWorld, retries: number, status: number, serviceMs: number) {
	this.gateway = new PlainGateway({retries, serviceMs, status});
});

Given('a gateway with a route of unsafe requests to two upstreams that answer {int} after {int} ms', function (this: RetriesWorld, status: number, serviceMs: number) {
	this.gateway = new PlainGateway({
		retries: 100, serviceMs, status, kind: ROUTE_KIND.Once,
	});
});

When('{int} safe/unsafe requests arrive at once', function (this: RetriesWorld, requests: number) {
	this.requests = requests;
	for (let index = 0; index < requests; index += 1) {
		this.gateway.arrive(`r${index}`);
	}

	this.gateway.time.advance(PLAY_MS);
});

Then('all {int} callers get status {int}', function (this: RetriesWorld, requests: number, status: number) {
	const ends = [...this.gateway.ends.values()];
	assert.equal(ends.length, requests);
	assert.deepEqual(ends.filter(end => end.status !== status), []);
});

Then('{int} attempts were given up, each for a retry', function (this: RetriesWorld, givenUp: number) {
	assert.deepEqual([...this.gateway.givenUp], givenUp === 0 ? [] : [[RESULT_CODE.UpstreamSilent, givenUp]]);
	assert.equal(this.gateway.sent, this.requests + givenUp);
});

Then('every retry was sent within {int} ms of the arrival', function (this: RetriesWorld, ms: number) {
	assert.ok(this.gateway.sent > this.requests);
	assert.ok(this.gateway.lastSentAt <= ms, `${this.gateway.lastSentAt} ms`);
});

Then('{int} requests were sent again', function (this: RetriesWorld, repeats: number) {
	assert.equal(this.gateway.sent - this.requests, repeats);
});

Then('all {int} callers get the refusal 3003, which promises nothing', function (this: RetriesWorld, requests: number) {
	const ends = [...this.gateway.ends.values()].map(({status, code, outcome}) => ({status, code, outcome}));
	assert.deepEqual(ends, Array.from({length: requests}, () => ({status: undefined, code: RESULT_CODE.UpstreamFailed, outcome: OUTCOME.Unknown})));
});
