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

const standStill = ({time, process}: WaitWorld, ms: number): void => {
	process.freeze();
	time.advance(ms);
	process.thaw();
};

Given('a gateway without stock, at which a request with an objective of {int} ms waits', function (this: WaitWorld, objectiveMs: number) {
	this.time = new VirtualTime();
	this.process = new VirtualProcess(this.time);
	this.result = undefined;
	const getNow = (): number => this.time.now;
	const team = {name: 'red', quota: {perSecond: 1000, burst: 1000}};
	const table: Readonly<Record<string, unknown>> = {teams: new Map([[team.name, team]])};
	this.gate = new QuotaGate({
		clock: {now: getNow, wallNow: getNow},
		suspensions: {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0},
		timers: newProcessTimers(this.time, this.process),
		logger: pino({level: 'silent'}),
		random: () => 0,
		getTable: () => table as never,
		isReserveUsed: false,
		onAdmitted: () => {
			this.result = {code: undefined, at: getNow()};
		},
		onRefused: (_request, code) => {
			this.result = {code, at: getNow()};
		},
		onNeed: () => undefined,
	});
	const request = {
		id: 'r1', caller: {team, rank: 0, cost: COST}, head: {id: 'r1'}, route: {objectiveMs}, arrivedAt: 0, deadlineAt: END_MS, dispatchedAt: undefined,
	};
	this.gate.arrive(request as unknown as GatewayRequest);
	this.gate.getReport(false);
});

When('the gateway stands still for {int} ms, and the leader\'s loan arrives meanwhile', function (this: WaitWorld, ms: number) {
	this.time.after(ms / 2, () => {
		this.process.take(() => {
			this.gate.handleUpdate({
				term: 1, loans: [{subject: 'red', amount: COST, waitMs: 0}], scarceSubjects: [], areRatesConfirmed: false, reportedAt: 0,
			});
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
