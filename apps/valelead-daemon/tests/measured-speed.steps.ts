import assert from 'node:assert/strict';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type EngineReport, DemandReportSchema, EngineReportSchema, SpeedSamplesSchema,
} from '@valelead/protocol';
import {newRandom} from '../../../tests/support/new-random.js';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {MeasuredSpeed, ReportEncoder, newLogger} from 'valelead-daemon';

type MeasuredWorld = {
	time: VirtualTime;
	speed: MeasuredSpeed;
	/** Numbers of changes that were published at once, and of scheduled publications. */
	jumps: number;
	scheduled: number;
	/** The different gaps that were published. */
	published: Set<number>;
};

const RUN = 'e1';

/** Interval between two reports of any gateway, each with the samples of one stream, in milliseconds. */
const REPORT_MS = 25;
const GAPS_PER_REPORT = 2;

const measure = (world: MeasuredWorld, runId: string, getGapMs: () => number, forMs: number): void => {
	for (let passed = 0; passed < forMs; passed += REPORT_MS) {
		world.time.advance(REPORT_MS);
		const report = create(DemandReportSchema, {speed: create(SpeedSamplesSchema, {upstreamId: runId, gaps: GAPS_PER_REPORT, gapMs: GAPS_PER_REPORT * getGapMs()})});
		world.speed.add(fromBinary(DemandReportSchema, toBinary(DemandReportSchema, report)).speed, RUN);
		world.published.add(world.speed.published.eventGapMs);
	}
};

Given('an engine of which 28 gateways have measured gaps of {int} ms for {int} ms', function (this: MeasuredWorld, gapMs: number, forMs: number) {
	this.time = new VirtualTime();
	this.published = new Set();
	this.speed = new MeasuredSpeed({
		clock: {now: () => this.time.now, wallNow: () => this.time.now},
		timers: newVirtualTimers(this.time),
		logger: newLogger('silent', {vm: 'v', role: 'sidecar'}),
		onJump: () => {
			this.jumps += 1;
		},
		onAged: () => {
			this.scheduled += 1;
		},
	});
	measure(this, RUN, () => gapMs, forMs);
	Object.assign(this, {jumps: 0, scheduled: 0, published: new Set()});
});

When('the gateways measure gaps of {int} ms for {int} ms', function (this: MeasuredWorld, gapMs: number, forMs: number) {
	measure(this, RUN, () => gapMs, forMs);
});

When('the gateways measure gaps of {int} to {int} ms for {int} ms', function (this: MeasuredWorld, leastMs: number, mostMs: number, forMs: number) {
	const random = newRandom(1);
	measure(this, RUN, () => leastMs + (random() * (mostMs - leastMs)), forMs);
});

When('the gateways measure gaps of {int} ms for {int} ms at the run before', function (this: MeasuredWorld, gapMs: number, forMs: number) {
	measure(this, 'e0', () => gapMs, forMs);
});

When('nothing is measured for {int} ms', function (this: MeasuredWorld, ms: number) {
	this.scheduled = 0;
	this.time.advance(ms);
});

When('the engine starts again', function (this: MeasuredWorld) {
	this.speed.reset();
});

Then('the speed was published at once {int} to {int} times', function (this: MeasuredWorld, least: number, most: number) {
	assert.ok(this.jumps >= least && this.jumps <= most, `${this.jumps}`);
});

Then('the published gap changed at most {int} times', function (this: MeasuredWorld, most: number) {
	assert.ok(this.published.size <= most + 1, [...this.published].join(', '));
});

Then('publications were scheduled, at most {int}', function (this: MeasuredWorld, most: number) {
	assert.ok(this.scheduled > 0 && this.scheduled <= most, `${this.scheduled}`);
});

Then('the last published gap is over {int} ms', function (this: MeasuredWorld, ms: number) {
	assert.ok(this.speed.published.eventGapMs > ms, `${this.speed.published.eventGapMs}`);
});

Then('the last published gap is under {int} ms', function (this: MeasuredWorld, ms: number) {
	assert.ok(this.speed.published.eventGapMs < ms, `${this.speed.published.eventGapMs}`);
});

Then('a report to a gateway contains the published gap', function (this: MeasuredWorld) {
	const {report} = new ReportEncoder().encode({
		upstreamId: RUN, models: [], loads: [], copiesInMemory: [], copiesOnDisk: [], inProgress: 0, waiting: 0, cacheShare: 0, ...this.speed.published,
	}, '');
	const received: EngineReport = fromBinary(EngineReportSchema, toBinary(EngineReportSchema, report));
	assert.equal(received.eventGapMs, this.speed.published.eventGapMs);
	assert.notEqual(received.eventGapMs, 0);
});

Then('a report of an older manager contains a gap of 0 ms, and one of an older gateway no samples', function (this: MeasuredWorld) {
	assert.equal(fromBinary(EngineReportSchema, toBinary(EngineReportSchema, create(EngineReportSchema, {upstreamId: RUN}))).eventGapMs, 0);
	const {speed} = fromBinary(DemandReportSchema, toBinary(DemandReportSchema, create(DemandReportSchema, {gateway: 'g'})));
	assert.equal(speed, undefined);
	this.speed.add(speed, RUN);
});
