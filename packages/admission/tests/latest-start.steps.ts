import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {OrderSimulation, type RequestKind} from './order-simulation.js';
import type {AdmissionRequest} from '@valelead/admission';

type OrderWorld = {
	simulation: OrderSimulation;
	kinds: RequestKind[];
	lastId: string;
	orders: Array<readonly [readonly string[], readonly string[]]>;
};

const MS_PER_SECOND = 1000;
const RUNS = 200;
const SEED = 71;

const ROUTINE: RequestKind = {
	kind: 'routine', team: '', model: 'a', rank: 0, objectiveMs: 1000, patienceMs: 4000, perSecond: 0,
};

const QUEUED = fc.record({
	team: fc.constantFrom('large', 'small'),
	teamWeight: fc.integer({min: 1, max: 3}),
	rank: fc.integer({min: 0, max: 2}),
	classWeight: fc.constantFrom(1, 0.5),
	deadlineAt: fc.integer({min: 30_000, max: 60_000}),
	dueAt: fc.integer({min: 10_000, max: 30_000}),
});

const getOrder = (requests: ReadonlyArray<Partial<AdmissionRequest>>, isOrderedByLatestStart: boolean): string[] => {
	const simulation = new OrderSimulation({
		slots: 1, startMs: 10, endMs: 10, isOrderedByLatestStart,
	});
	for (const request of requests) {
		simulation.arrive({...ROUTINE, patienceMs: 60_000}, request);
	}

	simulation.run(requests.length * 50);
	return simulation.dispatched;
};

Given('an engine with {int} slot(s), whose responses begin after {int} ms and end after {int} ms', function (this: OrderWorld, slots: number, startMs: number, endMs: number) {
	this.kinds = [];
	this.simulation = new OrderSimulation({
		slots, startMs, endMs, isOrderedByLatestStart: true,
	});
});

Given('an engine with {int} slots and balanced classes, whose responses begin after {int} ms and end after {int} ms', function (this: OrderWorld, slots: number, startMs: number, endMs: number) {
	this.kinds = [];
	this.simulation = new OrderSimulation({
		slots, startMs, endMs, isOrderedByLatestStart: true, areClassesBalanced: true,
	});
});

Given('these kinds of requests', function (this: OrderWorld, table: DataTable) {
	this.kinds = table.hashes().map(row => ({
		kind: row.kind, team: row.team, model: row.model, rank: Number(row.rank), objectiveMs: Number(row.objective), patienceMs: Number(row.patience), perSecond: Number(row['per second']),
	}));
});

When('they arrive for {int} s', function (this: OrderWorld, seconds: number) {
	this.simulation.run(seconds * MS_PER_SECOND, this.kinds);
	const patienceMs = Math.max(...this.kinds.map(kind => kind.patienceMs));
	this.simulation.run(patienceMs + MS_PER_SECOND);
});

Then('at least {int} of 100 requests of kind {string} are in time', function (this: OrderWorld, least: number, kind: string) {
	const share = this.simulation.getShareInTime(kind) * 100;
	assert.ok(share >= least, `${share.toFixed(1)} of 100`);
});

Then('requests of kind {string} are in time as often as those of kind {string}, give or take {int} of 100', function (this: OrderWorld, urgent: string, other: string, most: number) {
	const difference = (this.simulation.getShareInTime(urgent) - this.simulation.getShareInTime(other)) * 100;
	assert.ok(Math.abs(difference) <= most, `${difference.toFixed(1)} of 100`);
});

Then('some requests are refused, all as not run and with code {int}, and at least {int} ms before their callers leave', function (this: OrderWorld, code: number, leastMs: number) {
	const {refusals} = this.simulation;
	assert.ok(refusals.length > 0);
	for (const refusal of refusals) {
		assert.equal(refusal.code, code);
		assert.equal(refusal.outcome, OUTCOME.NotRun);
		assert.ok(refusal.leftMs >= leastMs, `${refusal.leftMs} ms`);
	}
});

Then('no caller leaves before its request is answered or refused', function (this: OrderWorld) {
	assert.deepEqual(this.simulation.leftUnanswered, []);
});

Given('a response of kind {string} that began {int} ms after its dispatch', function (this: OrderWorld, kind: string, startMs: number) {
	this.simulation = new OrderSimulation({
		slots: 1, startMs, endMs: startMs, isOrderedByLatestStart: true,
	});
	this.simulation.arrive({...ROUTINE, kind});
	this.simulation.run(startMs + 50);
});

When('a request of kind {string} with a patience of {int} ms arrives {int} ms later', function (this: OrderWorld, kind: string, patienceMs: number, laterMs: number) {
	this.simulation.run(laterMs);
	this.lastId = this.simulation.arrive({...ROUTINE, kind, patienceMs});
});

Then('the last request is refused with code {int}', function (this: OrderWorld, code: number) {
	assert.equal(this.simulation.refusals.find(({requestId}) => requestId === this.lastId)?.code, code);
});

Then('the last request is dispatched', function (this: OrderWorld) {
	assert.equal(this.simulation.dispatched.at(-1), this.lastId);
});

When('a resumable stream breaks after {int} ms, while requests wait that are due', function (this: OrderWorld, breaksMs: number) {
	this.simulation = new OrderSimulation({
		slots: 1, startMs: 100, endMs: 10_000, isOrderedByLatestStart: true,
	});
	this.lastId = this.simulation.arrive({...ROUTINE, patienceMs: 2000}, {isResumable: true, deadlineAt: 20_000});
	this.simulation.run(breaksMs - 500);
	this.simulation.arrive({...ROUTINE, objectiveMs: 600});
	this.simulation.run(500);
	this.simulation.arrive(ROUTINE);
	this.simulation.fail(this.lastId, RESULT_CODE.AnswerCut);
});

Then('the next request that is dispatched is the stream', function (this: OrderWorld) {
	assert.deepEqual(this.simulation.dispatched, [this.lastId, this.lastId]);
	assert.deepEqual(this.simulation.refusals, []);
});

When('random requests for one model wait that all have 10 s or more until they are due', function (this: OrderWorld) {
	this.orders = fc.sample(fc.array(QUEUED, {minLength: 2, maxLength: 20}), {numRuns: RUNS, seed: SEED})
		.map(requests => [getOrder(requests, true), getOrder(requests, false)] as const);
});

Then('they are dispatched in the same order with and without latest starts', function (this: OrderWorld) {
	for (const [ordered, unordered] of this.orders) {
		assert.deepEqual(ordered, unordered);
	}
});

Then('each request states its wait once, and those that were overdue or refused what was dispatched meanwhile', function (this: OrderWorld) {
	const {waits, dispatched, refusals} = this.simulation;
	assert.equal(waits.length, new Set([...dispatched, ...refusals.map(({requestId}) => requestId)]).size);
	const overdue = waits.filter(({overdueMs}) => overdueMs! > 0);
	assert.ok(overdue.length > 0);
	for (const {waitedMs, dispatchedBefore} of overdue) {
		// A response takes 600 ms at most, so that a slot has become free in that time.
		assert.ok(waitedMs < 600 || dispatchedBefore!.size > 0, `${waitedMs} ms`);
	}

	assert.ok(waits.every(({overdueMs, dispatchedBefore, waitedMs}) => overdueMs! > 0 || dispatchedBefore === undefined));
});
