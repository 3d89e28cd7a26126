import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	OUTCOME, RESULT_CODE, type OutcomeValue, type ResultCodeValue,
} from '@valelead/common';
import {newPlainArrival} from '../../../tests/support/new-plain-arrival.js';
import {
	type AdmissionEffect, type AdmissionEvent, type AdmissionSettings, type AdmissionState, type AdmissionRequest, mutateAdmission, newAdmissionState,
} from '@valelead/admission';

type Dispatch = Extract<AdmissionEffect, {kind: 'dispatch'}>;

type DirectWorld = {
	direct: {
		state: AdmissionState;
		settings: AdmissionSettings;
		now: number;
		nextId: number;
		dispatched: Dispatch[];
		refused: Array<Extract<AdmissionEffect, {kind: 'refuse'}>>;
		/** How long after upstreams accepted requests again the first one was sent, in milliseconds. */
		outageMs: number;
		/** When the last attempt failed, in milliseconds. */
		failedAt: number;
		/** The reaction of an upstream to a request, applied as soon as the request is sent. */
		getReaction: (dispatch: Dispatch) => AdmissionEvent | undefined;
	};
};

const TARGET = 'service/s';

/** How long a request that may reach no further upstream waits before it is sent again, in milliseconds. */
const PAUSE_MS = 100;

/** Interval of ticks, in milliseconds. */
const TICK_MS = 50;

/** A play in which no request is sent any more ends after this time, in milliseconds. */
const LONGEST_OUTAGE_MS = 20_000;

/** Subtracts a sent request from what the rate limit of its upstream still allows. */
const consumeSendLimit = ({direct}: DirectWorld, vm: string): void => {
	const limit = direct.settings.sendLimits?.get(vm);
	if (limit) {
		direct.settings = {...direct.settings, sendLimits: new Map([...direct.settings.sendLimits!, [vm, {...limit, sends: limit.sends - 1}]])};
	}
};

const take = (world: DirectWorld, event: AdmissionEvent): void => {
	const {direct} = world;
	for (const effect of mutateAdmission(direct.state, direct.settings, event, direct.now)) {
		if (effect.kind === 'refuse') {
			direct.refused.push(effect);
		} else if (effect.kind === 'dispatch') {
			direct.dispatched.push(effect);
			consumeSendLimit(world, effect.vm);
			const reaction = direct.getReaction(effect);
			if (reaction) {
				take(world, reaction);
			}
		}
	}
};

const newFailure = ({requestId, attemptId}: Dispatch, code: ResultCodeValue, outcome: OutcomeValue): AdmissionEvent => ({
	kind: 'failed', requestId, attemptId, code, outcome, jitter: 0.5,
});

const arrive = (world: DirectWorld, ticket: Partial<AdmissionRequest> = {}): void => {
	const {direct} = world;
	direct.nextId += 1;
	take(world, newPlainArrival({
		requestId: String(direct.nextId), target: TARGET, arrivedAt: direct.now, deadlineAt: direct.now + 10_000, ...ticket,
	}));
};

const arriveMany = (world: DirectWorld, count: number): void => {
	for (let index = 0; index < count; index += 1) {
		arrive(world);
	}
};

const start = (world: DirectWorld): void => {
	const {requestId, attemptId} = world.direct.dispatched.at(-1)!;
	take(world, {kind: 'started', requestId, attemptId});
};

Given('an entry that reaches upstreams {string} directly, with a limit of {int} requests each and {int} retries', function (this: DirectWorld, names: string, limit: number, retries: number) {
	this.direct = {
		state: newAdmissionState(),
		settings: {
			maxAttempts: 4,
			retryTokensPerRequest: 0,
			maxRetryTokens: retries,
			initialRetryTokens: retries,
			isRefusalCharged: true,
			failuresBeforeEjection: 3,
			baseEjectionMs: 1000,
			maxEjectionMs: 8000,
			refusedTargetAvoidMs: 0,
			creditMarginMs: 0,
			deprioritiseAfterMs: 700,
			ejectUnresponsiveAfterMs: 1500,
			dataCentre: 'dc',
		},
		now: 0,
		nextId: 0,
		dispatched: [],
		refused: [],
		outageMs: 0,
		failedAt: 0,
		getReaction: () => undefined,
	};
	take(this, {kind: 'endpoints', endpoints: new Map([[TARGET, names.split(', ').map(vm => ({vm, dataCentre: 'dc', concurrencyLimit: limit}))]])});
});

When('{int} request(s) arrive(s)', function (this: DirectWorld, count: number) {
	arriveMany(this, count);
});

Given('{string} has {int} requests of other entries in progress', function (this: DirectWorld, vm: string, count: number) {
	const endpoints = this.direct.state.endpoints.get(TARGET)!.map(endpoint => endpoint.vm === vm ? {...endpoint, otherEntriesInProgress: count} : endpoint);
	take(this, {kind: 'endpoints', endpoints: new Map([[TARGET, endpoints]])});
});

When('the first attempt of a request fails at {string} after running', function (this: DirectWorld, vm: string) {
	this.direct.getReaction = dispatch => dispatch.vm === vm ? newFailure(dispatch, RESULT_CODE.UpstreamFailed, OUTCOME.Unknown) : undefined;
	arrive(this, {isRepeatable: true, maxRuns: 2});
});

Then('{int} are dispatched and {int} wait(s)', function (this: DirectWorld, dispatched: number, waiting: number) {
	assert.equal(this.direct.dispatched.length, dispatched);
	assert.equal(this.direct.state.queues.get(TARGET)?.length ?? 0, waiting);
});

Given('{string} limits its requests to {int} a second, of which {int} may be sent now', function (this: DirectWorld, vm: string, perSecond: number, sends: number) {
	const {settings} = this.direct;
	this.direct.settings = {...settings, sendLimits: new Map([...settings.sendLimits ?? [], [vm, {sends, perSecond}]])};
});

Then('{int} were sent to {string}', function (this: DirectWorld, count: number, vm: string) {
	assert.equal(this.direct.dispatched.filter(dispatch => dispatch.vm === vm).length, count);
});

Then('{int} were refused at once, with a Retry-After time of at least {int} ms', function (this: DirectWorld, count: number, leastMs: number) {
	assert.equal(this.direct.refused.length, count);
	assert.ok(this.direct.refused.every(({outcome, retryAfterMs}) => outcome === OUTCOME.NotRun && retryAfterMs >= leastMs));
});

When('a request at {string} ends', function (this: DirectWorld, vm: string) {
	const {requestId, attemptId} = this.direct.dispatched.find(dispatch => dispatch.vm === vm)!;
	take(this, {kind: 'finished', requestId, attemptId});
});

When('{string} refuses connections and {int} requests arrive', function (this: DirectWorld, vm: string, count: number) {
	this.direct.getReaction = dispatch => dispatch.vm === vm
		? newFailure(dispatch, RESULT_CODE.UpstreamUnreachable, OUTCOME.NotRun)
		: {kind: 'finished', requestId: dispatch.requestId, attemptId: dispatch.attemptId};
	arriveMany(this, count);
});

Then('none is refused', function (this: DirectWorld) {
	assert.equal(this.direct.refused.length, 0);
});

Then('one request was sent to {string}', function (this: DirectWorld, vm: string) {
	assert.equal(this.direct.dispatched.filter(dispatch => dispatch.vm === vm).length, 1);
});

When('upstreams refuse every request before running it and {int} requests arrive one after the other', function (this: DirectWorld, count: number) {
	this.direct.getReaction = dispatch => newFailure(dispatch, RESULT_CODE.UpstreamRejected, OUTCOME.NotRun);
	for (let index = 0; index < count; index += 1) {
		arrive(this, {maxAttempts: 2});
		this.direct.now += 5000;
	}
});

Then('{int} requests were sent a second time', function (this: DirectWorld, count: number) {
	assert.equal(this.direct.dispatched.filter(dispatch => dispatch.attemptId.endsWith('.2')).length, count);
});

Then('every refusal says that the request did not run', function (this: DirectWorld) {
	assert.ok(this.direct.refused.length > 0);
	assert.ok(this.direct.refused.every(refusal => refusal.outcome === OUTCOME.NotRun && refusal.retryAfterMs > 0));
});

When('upstreams fail every request after running it and {int} request that may run {int} times arrives', function (this: DirectWorld, _count: number, runs: number) {
	this.direct.getReaction = dispatch => newFailure(dispatch, RESULT_CODE.UpstreamFailed, OUTCOME.Unknown);
	arrive(this, {maxRuns: runs});
});

Then('the request was sent {int} times', function (this: DirectWorld, count: number) {
	assert.equal(this.direct.dispatched.length, count);
});

Then('the refusal says that the request may have run', function (this: DirectWorld) {
	assert.deepEqual(this.direct.refused.map(refusal => refusal.outcome), [OUTCOME.Unknown]);
});

When('{string} answers and {string} is silent for {int} ms', function (this: DirectWorld, answering: string, _silent: string, milliseconds: number) {
	this.direct.now += milliseconds;
	const {requestId, attemptId} = this.direct.dispatched.find(dispatch => dispatch.vm === answering)!;
	take(this, {kind: 'finished', requestId, attemptId});
});

Then('the last {int} were sent to {string}', function (this: DirectWorld, count: number, vm: string) {
	assert.deepEqual(this.direct.dispatched.slice(-count).map(dispatch => dispatch.vm), Array.from({length: count}, () => vm));
});

When('a resumable stream begins at an upstream and breaks', function (this: DirectWorld) {
	arrive(this, {isResumable: true});
	start(this);
	take(this, newFailure(this.direct.dispatched.at(-1)!, RESULT_CODE.AnswerCut, OUTCOME.Unknown));
});

When('{int} resumable streams break at {string}, and a further one arrives and breaks at the other upstream', function (this: DirectWorld, count: number, vm: string) {
	const {direct} = this;
	for (let index = 0; index < count; index += 1) {
		arrive(this, {isResumable: true});
		const first = direct.dispatched.at(-1)!;
		assert.equal(first.vm, vm);
		start(this);
		take(this, newFailure(first, RESULT_CODE.AnswerCut, OUTCOME.Unknown));
	}

	arrive(this, {isResumable: true});
	start(this);
	direct.failedAt = direct.now;
	take(this, newFailure(direct.dispatched.at(-1)!, RESULT_CODE.AnswerCut, OUTCOME.Unknown));
});

Then('the further one was sent to {string} twice, the second time within {int} ms', function (this: DirectWorld, vm: string, limitMs: number) {
	const {direct} = this;
	const getSent = (): Dispatch[] => direct.dispatched.filter(({requestId}) => requestId === String(direct.nextId));
	while (getSent().length < 2 && direct.now < direct.failedAt + limitMs) {
		direct.now += TICK_MS;
		take(this, {kind: 'tick'});
	}

	assert.deepEqual(getSent().map(dispatch => dispatch.vm), [vm, vm]);
});

When('a stream that runs once begins at an upstream and breaks', function (this: DirectWorld) {
	arrive(this, {isRepeatable: false});
	start(this);
	take(this, newFailure(this.direct.dispatched.at(-1)!, RESULT_CODE.AnswerCut, OUTCOME.Unknown));
});

When('{int} ms pass without a response', function (this: DirectWorld, ms: number) {
	this.direct.now += ms;
	take(this, {kind: 'tick'});
});

Then('the upstream is ejected', function (this: DirectWorld) {
	assert.ok([...this.direct.state.lanes.values()].every(lane => lane.ejectedUntil > this.direct.now));
});

When('upstreams refuse every request before running it and a request that may reach {int} of them arrives', function (this: DirectWorld, maxUpstreams: number) {
	this.direct.getReaction = dispatch => newFailure(dispatch, RESULT_CODE.UpstreamRejected, OUTCOME.NotRun);
	arrive(this, {maxAttempts: 3, maxUpstreams});
	for (let waits = 0; waits < 2; waits += 1) {
		take(this, {kind: 'tick'});
		assert.equal(this.direct.dispatched.length, Math.min(3, maxUpstreams + waits));
		this.direct.now += PAUSE_MS;
	}

	take(this, {kind: 'tick'});
});

When('a request arrives each {int} ms, and upstreams reject all of them before running them for the first {int} ms', function (this: DirectWorld, periodMs: number, rejectedMs: number) {
	const {direct} = this;
	direct.getReaction = dispatch => direct.now < rejectedMs ? newFailure(dispatch, RESULT_CODE.UpstreamRejected, OUTCOME.NotRun) : undefined;
	const isAccepted = (): boolean => direct.dispatched.length > 0 && direct.state.requests.get(direct.dispatched.at(-1)!.requestId)?.state === 'sent';
	while (!isAccepted() && direct.now < rejectedMs + LONGEST_OUTAGE_MS) {
		arrive(this);
		direct.now += periodMs;
		take(this, {kind: 'tick'});
	}

	direct.outageMs = direct.now - rejectedMs;
});

Then('requests were sent again within {int} ms after that', function (this: DirectWorld, limitMs: number) {
	assert.ok(this.direct.outageMs <= limitMs, `${this.direct.outageMs} ms`);
});

Then('the request was sent {int} times, to {int} different upstreams, with a pause before each of the same', function (this: DirectWorld, sent: number, upstreams: number) {
	assert.equal(this.direct.dispatched.length, sent);
	assert.equal(new Set(this.direct.dispatched.map(({vm}) => vm)).size, upstreams);
});

When('a request that may reach {int} upstream is rejected by {string}, which is avoided for {int} ms', function (this: DirectWorld, maxUpstreams: number, vm: string, avoidMs: number) {
	const {direct} = this;
	direct.settings = {...direct.settings, refusedTargetAvoidMs: avoidMs};
	direct.getReaction = dispatch => dispatch.vm === vm ? newFailure(dispatch, RESULT_CODE.UpstreamLeaving, OUTCOME.NotRun) : undefined;
	arrive(this, {maxAttempts: 3, maxUpstreams});
	direct.getReaction = () => undefined;
});

When('{string} no longer serves the target', function (this: DirectWorld, gone: string) {
	take(this, {kind: 'endpoints', endpoints: new Map([[TARGET, this.direct.state.endpoints.get(TARGET)!.filter(({vm}) => vm !== gone)]])});
});
