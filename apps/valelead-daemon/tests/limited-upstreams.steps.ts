import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import {type LimitTable, mutateAnnouncedLimit} from '@valelead/quota';
import {
	QuotaGrantSchema, QuotaLoanSchema, UpstreamLimitSchema, UpstreamLimitsSchema,
} from '@valelead/protocol';
import {pino} from 'pino';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {UpstreamRateLimiter} from 'valelead-daemon';

type LimitsWorld = {
	time: VirtualTime;
	suspensions: {resumedAt: number; lostMs: number};
	limits: UpstreamRateLimiter;
	/** Number of times that a report to the leader was due immediately. */
	needs: number;
	reportedAt: number;
	told: ReturnType<UpstreamRateLimiter['getReport']>['sightings'];
	/** When the leader sent the limit, in milliseconds of the virtual time. */
	namedAt: number;
	book: LimitTable;
};

const FIRST_TERM = 1;
const STEP_MS = 500;

const tellLimits = (world: LimitsWorld, entries: ReadonlyArray<readonly [string, number]>, {term = FIRST_TERM, reportedAt = world.reportedAt} = {}): void => {
	const limits = create(UpstreamLimitsSchema, {
		term, limits: entries.map(([upstreamId, perSecond]) => create(UpstreamLimitSchema, {upstreamId, perSecond})),
	});
	world.limits.handleUpdate({limits, grant: undefined, reportedAt});
};

const report = (world: LimitsWorld): void => {
	world.reportedAt = world.time.now;
	world.told = world.limits.getReport(world.reportedAt, false).sightings;
};

Given('a gateway that a leader of term 1 leads', function (this: LimitsWorld) {
	this.time = new VirtualTime();
	this.suspensions = {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0};
	this.needs = 0;
	this.limits = new UpstreamRateLimiter({
		clock: {now: () => this.time.now, wallNow: () => this.time.now},
		suspensions: this.suspensions,
		timers: newVirtualTimers(this.time),
		logger: pino({level: 'silent'}),
		random: () => 0,
		getWaiting: () => 0,
		onNeed: () => {
			this.needs += 1;
		},
		onChange: () => undefined,
	});
	this.time.advance(100);
	report(this);
	tellLimits(this, []);
	report(this);
	this.time.advance(1);
	this.needs = 0;
});

When('an answer of {string} names a limit of {int}', function (this: LimitsWorld, upstreamId: string, perSecond: number) {
	this.limits.noteAnswer(upstreamId, perSecond, this.time.now - 1);
	this.time.advance(1);
});

When('an answer of {string} to a request sent {int} ms before that names none', function (this: LimitsWorld, upstreamId: string, ms: number) {
	this.limits.noteAnswer(upstreamId, undefined, this.namedAt - ms);
});

When('an answer of {string} to a request sent {int} ms after that names none', function (this: LimitsWorld, upstreamId: string, ms: number) {
	this.time.advance(2 * ms);
	this.limits.noteAnswer(upstreamId, undefined, this.namedAt + ms);
});

When('the gateway reports', function (this: LimitsWorld) {
	report(this);
	this.time.advance(1);
});

When('the leader tells that there are no limits, in answer to an earlier report', function (this: LimitsWorld) {
	tellLimits(this, []);
});

When('the leader tells that there are no limits, in answer to that report', function (this: LimitsWorld) {
	tellLimits(this, []);
});

When('a leader of term {int} tells that there are no limits, in answer to that report', function (this: LimitsWorld, term: number) {
	this.needs = 0;
	tellLimits(this, [], {term});
});

When('the leader tells that {string} has a limit of {int}', function (this: LimitsWorld, upstreamId: string, perSecond: number) {
	this.namedAt = this.time.now;
	tellLimits(this, [[upstreamId, perSecond]]);
});

const lend = (world: LimitsWorld, loan: {readonly subject: string; readonly amount: number; readonly waitMs: number}): void => {
	const grant = create(QuotaGrantSchema, {term: FIRST_TERM, loans: [create(QuotaLoanSchema, loan)]});
	world.limits.handleUpdate({limits: undefined, grant, reportedAt: world.reportedAt});
};

When('the leader answers with the limit and a loan of {int} for {string}', function (this: LimitsWorld, amount: number, subject: string) {
	lend(this, {subject, amount, waitMs: 0});
});

When('for {int} ms the leader lends {int} request each {int} ms for {string} and has no more', function (
	this: LimitsWorld,
	lengthMs: number,
	amount: number,
	gapMs: number,
	subject: string,
) {
	for (let at = 0; at < lengthMs; at += STEP_MS) {
		lend(this, {subject, amount: at % gapMs === 0 ? amount : 0, waitMs: gapMs});
		this.time.advance(STEP_MS);
	}
});

When('the leader lends all that is asked for {string}', function (this: LimitsWorld, subject: string) {
	lend(this, {subject, amount: 1, waitMs: 0});
});

Then('the gateway expects to send {float} request(s) a second to {string}', function (this: LimitsWorld, perSecond: number, upstreamId: string) {
	assert.equal(this.limits.getSendLimits().get(upstreamId)?.perSecond, perSecond);
});

When('a directory without {string} comes', function (this: LimitsWorld, _upstreamId: string) {
	this.limits.retain(new Set());
});

When('a request is sent to {string}', function (this: LimitsWorld, upstreamId: string) {
	this.limits.noteSent(upstreamId);
});

When('{int} ms go by without a word of the leader', function (this: LimitsWorld, ms: number) {
	this.time.advance(ms);
});

When('the gateway is suspended for {int} ms after its report', function (this: LimitsWorld, ms: number) {
	report(this);
	this.time.advance(1);
	this.suspensions.resumedAt = this.time.now;
	this.suspensions.lostMs = ms;
});

Then('{string} may be sent {int} request(s)', function (this: LimitsWorld, upstreamId: string, sends: number) {
	assert.equal(this.limits.getSendLimits().get(upstreamId)?.sends, sends);
});

Then('the leader is told at once that {string} names a limit of {int}', function (this: LimitsWorld, upstreamId: string, perSecond: number) {
	assert.ok(this.needs > 0);
	report(this);
	assert.deepEqual(this.told.map(sighting => [sighting.upstreamId, sighting.perSecond]), [[upstreamId, perSecond]]);
});

Then('the leader was not told that {string} names no limit', function (this: LimitsWorld, upstreamId: string) {
	assert.ok(!this.told.some(sighting => sighting.upstreamId === upstreamId && sighting.perSecond === undefined));
});

Then('the leader was told that {string} names no limit', function (this: LimitsWorld, upstreamId: string) {
	assert.ok(this.told.some(sighting => sighting.upstreamId === upstreamId && sighting.perSecond === undefined));
});

Then('{string} is limited', function (this: LimitsWorld, upstreamId: string) {
	assert.ok(this.limits.getSendLimits().has(upstreamId));
});

Then('{string} is not limited', function (this: LimitsWorld, upstreamId: string) {
	assert.ok(!this.limits.getSendLimits().has(upstreamId));
});

Then('the limit of {string} is {int}', function (this: LimitsWorld, upstreamId: string, perSecond: number) {
	assert.equal(this.limits.getSendLimits().get(upstreamId)?.perSecond, perSecond);
});

Given('the leader knows a limit of {int} that was named last at {int} ms', function (this: LimitsWorld, perSecond: number, namedAt: number) {
	this.book = new Map();
	mutateAnnouncedLimit(this.book, {upstreamId: 'u', perSecond, at: namedAt});
});

When('a gateway tells that at {int} ms {word} was named', function (this: LimitsWorld, at: number, seen: string) {
	mutateAnnouncedLimit(this.book, {upstreamId: 'u', perSecond: seen === 'none' ? undefined : Number(seen), at});
});

Then('the leader holds to {word}', function (this: LimitsWorld, limit: string) {
	assert.equal(String(this.book.get('u')?.perSecond ?? 'none'), limit);
});
