import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type AdmissionSettings, type AdmissionState, type Prompt, mutateAdmission, newAdmissionState,
} from '@valelead/admission';
import {EngineReportSchema, type SpeedSamples} from '@valelead/protocol';
import {newPlainArrival} from '../../../tests/support/new-plain-arrival.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {
	type AttemptOptions, EngineChoice, getSummedLaneCost, newGatewayAdmission,
} from 'valelead-daemon';

type ChoiceWorld = {
	time: VirtualTime;
	choice: EngineChoice;
	engines: string[];
	gaps: string;
	/** Numbers of requests by engine. */
	sent: Map<string, number>;
	/** Samples that the gateway sent of its own accord, by address. */
	measured: Map<string, SpeedSamples | undefined>;
	stream: AttemptOptions | undefined;
	/** Number of choices with a preferred engine. */
	preferred?: number;
};

const EVENT = 'data: {"tokens":3}\n\n';
const TARGET = 's/m';
const OWN_TOKENS = 2890;
const CACHE_TOKENS = 226_529;
const DEADLINE_MS = 10_000;
const OK = {statusCode: 200, headers: {'content-type': 'text/event-stream'}, rawHeaders: []};

const split = (names: string): string[] => names.split(', ');

const reportGaps = (world: ChoiceWorld, gaps: string): void => {
	for (const [index, gap] of gaps.split(/, | and /v).entries()) {
		world.choice.setReport(world.engines[index], create(EngineReportSchema, {upstreamId: world.engines[index], eventGapMs: Number(gap)}));
	}
};

const start = (world: ChoiceWorld, isOn: boolean): void => {
	world.time = new VirtualTime();
	world.measured = new Map();
	world.choice = new EngineChoice({
		scheduling: {speed: isOn, promptReuse: isOn},
		clock: {now: () => world.time.now, wallNow: () => world.time.now},
		timers: newVirtualTimers(world.time),
		getCacheTokens: () => CACHE_TOKENS,
		onPreferred() {
			world.preferred = (world.preferred ?? 0) + 1;
		},
		sendMeasurements(address) {
			world.measured.set(address, world.choice.takeSpeedSamples(address));
		},
	});
	world.choice.setUpstreams(world.engines.map(id => newUpstream(id)));
	reportGaps(world, world.gaps);
};

const newStream = ({choice, time}: ChoiceWorld, id: string): AttemptOptions => choice.newMeasured({
	upstreamId: id,
	address: id,
	startedAt: time.now,
	events: {
		onLimit: () => undefined, onHead: () => true, onData: () => undefined, onEnd: () => undefined, onFailure: () => undefined,
	},
} as unknown as AttemptOptions);

const sendAfter = (world: ChoiceWorld, ms: number, text: string): void => {
	world.time.advance(ms);
	world.stream!.events.onData(Buffer.from(text));
};

const beginStream = (world: ChoiceWorld, id: string, ms: number): void => {
	world.stream = newStream(world, id);
	world.stream.events.onHead(OK);
	sendAfter(world, ms, EVENT);
};

Given('a gateway with engines {string}, of which gateways have measured gaps of {} ms', function (this: ChoiceWorld, engines: string, gaps: string) {
	Object.assign(this, {engines: split(engines), gaps});
	start(this, true);
});

Given('gateways have measured gaps of {} ms', function (this: ChoiceWorld, gaps: string) {
	reportGaps(this, gaps);
});

Given('speeds are switched off', function (this: ChoiceWorld) {
	start(this, false);
});

When('the manager of {string} has sent nothing for {int} ms', function (this: ChoiceWorld, engine: string, ms: number) {
	this.time.advance(ms);
	const [first, second, third] = this.gaps.split(/, | and /v);
	assert.equal(engine, 'e4');
	reportGaps(this, [first, second, third].join(', '));
});

When('the connection to the manager of {string} is lost', function (this: ChoiceWorld, engine: string) {
	this.choice.setReport(engine, undefined);
});

When('{string} starts again', function (this: ChoiceWorld, engine: string) {
	this.engines = this.engines.map(id => id === engine ? `${engine}'` : id);
	this.choice.setUpstreams(this.engines.map(id => newUpstream(id, {address: id.slice(0, 2)})));
	this.engines = this.engines.map(id => id.slice(0, 2));
});

When('the manager of {string} is of a version without speeds', function (this: ChoiceWorld, engine: string) {
	this.choice.setReport(engine, create(EngineReportSchema, {upstreamId: engine}));
});

/** Sends requests that arrive one after the other and stay in progress, by the costs of the gateway. */
const arrive = (world: ChoiceWorld, count: number, prompt?: Prompt): void => {
	const state: AdmissionState = newAdmissionState();
	const settings: AdmissionSettings = {
		...newGatewayAdmission({
			dataCentre: 'z', ratio: 0.1, reserve: 20, windowMs: 10_000, gatewayCount: 1, countedSince: 0,
		}),
		getLaneCost: getSummedLaneCost(world.choice.costs),
	};
	const endpoints = new Map([[TARGET, world.engines.map(vm => ({
		vm, dataCentre: 'z', concurrencyLimit: 32, otherEntriesInProgress: 0,
	}))]]);
	world.sent = new Map();
	mutateAdmission(state, settings, {kind: 'endpoints', endpoints}, world.time.now);
	for (let index = 0; index < count; index += 1) {
		const arrival = newPlainArrival({
			requestId: String(index), target: TARGET, arrivedAt: world.time.now, deadlineAt: world.time.now + DEADLINE_MS, prompt,
		});
		for (const effect of mutateAdmission(state, settings, arrival, world.time.now)) {
			assert.equal(effect.kind, 'dispatch');
			if (effect.kind === 'dispatch') {
				world.sent.set(effect.vm, (world.sent.get(effect.vm) ?? 0) + 1);
			}
		}
	}
};

const newPrompt = (id: string, tokens: number): Prompt => ({
	promptTokens: tokens + OWN_TOKENS, maxNewTokens: 70, expectedNewTokens: undefined, sharedSegments: [{id, tokens}], ownSegment: {id: 'own', tokens: OWN_TOKENS},
});

When('{int} requests arrive at once', function (this: ChoiceWorld, count: number) {
	arrive(this, count);
});

Then('of requests that share {int} tokens, two gateways send the first of each of {int} prompts to the same engine', function (this: ChoiceWorld, tokens: number, count: number) {
	for (let index = 0; index < count; index += 1) {
		const chosen = [1, 2].map(() => {
			this.engines.reverse();
			arrive(this, 1, newPrompt(`segment${index}`, tokens));
			return [...this.sent.keys()];
		});
		assert.deepEqual(chosen[0], chosen[1]);
	}

	assert.equal(this.preferred, 2 * count);
});

When('{int} requests arrive at once that share {int} tokens', function (this: ChoiceWorld, count: number, tokens: number) {
	arrive(this, count, newPrompt('shared', tokens));
});

Then('the most loaded engine was sent {int} to {int} requests', function (this: ChoiceWorld, least: number, most: number) {
	const count = Math.max(...this.sent.values());
	assert.ok(count >= least && count <= most, JSON.stringify([...this.sent]));
});

Then('no engine was preferred', function (this: ChoiceWorld) {
	assert.equal(this.preferred, undefined);
});

Then('at most {int} of them were sent to {string}', function (this: ChoiceWorld, most: number, engine: string) {
	assert.ok((this.sent.get(engine) ?? 0) <= most, JSON.stringify([...this.sent]));
});

Then('at least {int} of them were sent to {string}', function (this: ChoiceWorld, least: number, engine: string) {
	assert.ok((this.sent.get(engine) ?? 0) >= least, JSON.stringify([...this.sent]));
});

Then('each of {string} was sent {int} to {int} requests', function (this: ChoiceWorld, engines: string, least: number, most: number) {
	for (const engine of split(engines)) {
		const count = this.sent.get(engine) ?? 0;
		assert.ok(count >= least && count <= most, JSON.stringify([...this.sent]));
	}
});

Then('nothing is measured', function (this: ChoiceWorld) {
	beginStream(this, 'e1', 50);
	assert.equal(this.choice.takeSpeedSamples('e1'), undefined);
	assert.equal(getSummedLaneCost(this.choice.costs), undefined);
});

When('a stream of {string} sends its first event after {int} ms and then {int} events, each {int} ms apart', function (
	this: ChoiceWorld,
	engine: string,
	firstMs: number,
	events: number,
	gapMs: number,
) {
	beginStream(this, engine, firstMs);
	for (let index = 0; index < events; index += 1) {
		sendAfter(this, gapMs, EVENT);
	}
});

When('a stream of {string} sends its first event after {int} ms and then {int} events in one chunk after {int} ms', function (
	this: ChoiceWorld,
	engine: string,
	firstMs: number,
	events: number,
	gapMs: number,
) {
	beginStream(this, engine, firstMs);
	sendAfter(this, gapMs, EVENT.repeat(events));
});

When('a stream of {string} sends its first event after {int} ms and then {int} events in halves, each {int} ms apart', function (
	this: ChoiceWorld,
	engine: string,
	firstMs: number,
	events: number,
	gapMs: number,
) {
	beginStream(this, engine, firstMs);
	for (let index = 0; index < events; index += 1) {
		sendAfter(this, gapMs / 2, EVENT.slice(0, 7));
		sendAfter(this, gapMs / 2, EVENT.slice(7));
	}
});

When('the gateway stands still for {int} ms, with an event that arrived meanwhile', function (this: ChoiceWorld, ms: number) {
	// No timer runs while the process stands still, and the event is read before the timers run.
	this.time.now += ms;
	sendAfter(this, 0, EVENT);
});

When('a response of {string} arrives as JSON', function (this: ChoiceWorld, engine: string) {
	this.stream = newStream(this, engine);
	this.stream.events.onHead({...OK, headers: {'content-type': 'application/json'}});
	sendAfter(this, 50, '{\n\n}\n\n');
});

When('the gateway sends nothing else for {int} ms', function (this: ChoiceWorld, ms: number) {
	this.time.advance(ms);
});

Then('the gateway reports {int} gaps of {int} ms and 1 first event after {int} ms for {string}', function (
	this: ChoiceWorld,
	gaps: number,
	gapMs: number,
	firstMs: number,
	engine: string,
) {
	const samples = this.choice.takeSpeedSamples(engine)!;
	assert.deepEqual([samples.upstreamId, samples.gaps, samples.gapMs, samples.firstEvents, samples.firstEventMs], [engine, gaps, gaps * gapMs, 1, firstMs]);
	assert.equal(this.choice.takeSpeedSamples(engine), undefined);
});

Then('the gateway reports nothing for {string}', function (this: ChoiceWorld, engine: string) {
	assert.equal(this.choice.takeSpeedSamples(engine), undefined);
});

Then('the gateway has sent no measurement of its own accord', function (this: ChoiceWorld) {
	assert.equal(this.measured.size, 0);
});

Then('the gateway has sent measurements of {string} within {int} ms', function (this: ChoiceWorld, engine: string, ms: number) {
	this.time.advance(ms);
	assert.ok(this.measured.get(engine)!.gaps > 0);
});
