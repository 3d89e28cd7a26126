import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {pino} from 'pino';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {QuotaGate} from 'valelead-daemon';

type GatewayRequest = Parameters<QuotaGate['arrive']>[0];

type WaitWorld = {
	time: VirtualTime;
	process: VirtualProcess;
	gate: QuotaGate;
	/** What became of the request, and when, in milliseconds. */
	result: {readonly code: number | undefined; readonly at: number} | undefined;
};

const COST = 100;
const STEP_MS = 10;
const END_MS = 2000;

/** The leader's update that lends the quota of the request. */
const newLoanUpdate = (): Parameters<QuotaGate['handleUpdate']>[0] => ({
	term: 1, loans: [{subject: 'red', amount: COST, waitMs: 0}], scarceSubjects: [], areRatesConfirmed: false, reportedAt: 0,
});

const standStill = ({time, process}: WaitWorld, ms: number): void => {
	process.freeze();
	time.advance(ms);
	process.thaw();
};

const startWait = (world: WaitWorld, objectiveMs: number): void => {
	world.time = new VirtualTime();
	world.process = new VirtualProcess(world.time);
	world.result = undefined;
	const getNow = (): number => world.time.now;
	const team = {name: 'red', quota: {perSecond: 1000, burst: 1000}};
	const table: Readonly<Record<string, unknown>> = {teams: new Map([[team.name, team]])};
	world.gate = new QuotaGate({
		clock: {now: getNow, wallNow: getNow},
		suspensions: {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0},
		timers: newProcessTimers(world.time, world.process),
		logger: pino({level: 'silent'}),
		random: () => 0,
		getTable: () => table as never,
		isReserveUsed: false,
		onAdmitted() {
			world.result = {code: undefined, at: getNow()};
		},
		onRefused(_request, code) {
			world.result = {code, at: getNow()};
		},
		onNeed: () => undefined,
	});
	const request = {
		id: 'r1', caller: {team, rank: 0, cost: COST}, head: {id: 'r1'}, route: {objectiveMs}, arrivedAt: 0, deadlineAt: END_MS, dispatchedAt: undefined,
	};
	world.gate.arrive(request as unknown as GatewayRequest);
};

Given('a gateway without stock, at which a request with an objective of {int} ms waits', function (this: WaitWorld, objectiveMs: number) {
	startWait(this, objectiveMs);
	this.gate.getReport(false);
});

Given('a gateway without stock, at which a request with an objective of {int} ms waits that is reported to the leader after {int} ms', function (
	this: WaitWorld,
	objectiveMs: number,
	ms: number,
) {
	startWait(this, objectiveMs);
	this.time.advance(ms);
	this.gate.getReport(false);
});

Given('a gateway without stock, at which a request with an objective of {int} ms waits that is not reported to a leader', function (this: WaitWorld, objectiveMs: number) {
	startWait(this, objectiveMs);
});

When('the leader\'s loan arrives {int} ms later', function (this: WaitWorld, ms: number) {
	this.time.advance(ms);
	this.gate.handleUpdate(newLoanUpdate());
});

When('{int} leaders follow each other, one each {int} ms, and none answers its need', function (this: WaitWorld, leaders: number, ms: number) {
	for (let term = 1; term <= leaders; term += 1) {
		this.time.advance(ms);
		this.gate.handleUpdate({...newLoanUpdate(), term, loans: []});
		this.gate.getReport(false);
	}
});

When('the gateway stands still for {int} ms, and the leader\'s loan arrives meanwhile', function (this: WaitWorld, ms: number) {
	this.time.after(ms / 2, () => {
		this.process.take(() => {
			this.gate.handleUpdate(newLoanUpdate());
		});
	});
	standStill(this, ms);
});

When('the gateway stands still {int} times for {int} ms', function (this: WaitWorld, times: number, ms: number) {
	for (let time = 0; time < times; time += 1) {
		standStill(this, ms);
	}
});

Then('the request is admitted', function (this: WaitWorld) {
	assert.deepEqual([this.result?.code, this.result !== undefined], [undefined, true]);
});

Then('the request is refused with {int} within {int} ms', function (this: WaitWorld, code: number, limitMs: number) {
	while (this.result === undefined && this.time.now < END_MS) {
		this.time.advance(STEP_MS);
	}

	assert.equal(this.result?.code, code);
	assert.ok(this.result.at <= limitMs, `${this.result.at} ms`);
});
