import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {StopSimulation} from './stop-simulation.js';

type Scenario = ConstructorParameters<typeof StopSimulation>[0];
type Request = Scenario['requests'][number];

type StoppingWorld = {
	/** The simulated scenarios, each from its first request to the end of the entry. */
	simulated: Array<{readonly scenario: Scenario; readonly simulation: StopSimulation}>;
	graceMs: number;
};

const RUNS = 300;
const SEED = 55;

const STOP_AT_MS = 2000;

const REQUEST = fc.record({
	at: fc.integer({min: 0, max: 12_000}),
	isRepeatable: fc.boolean(),
	deadlineMs: fc.integer({min: 100, max: 25_000}),
	runMs: fc.integer({min: 10, max: 9000}),
	isBreaking: fc.boolean(),
	target: fc.constantFrom('common', 'rare'),
});

const SCENARIO = fc.record({
	requests: fc.array(REQUEST, {minLength: 1, maxLength: 40}),
	stopAt: fc.integer({min: 0, max: 10_000}),
	graceMs: fc.constantFrom(2000, 7750, 29_750),
	concurrencyLimit: fc.integer({min: 1, max: 8}),
	loadedAt: fc.record({common: fc.constant(0), rare: fc.integer({min: 0, max: 20_000})}),
});

const newRequest = (changes: Partial<Request>): Request => ({
	at: 0, isRepeatable: true, deadlineMs: 15_000, runMs: 1000, isBreaking: false, target: 'common', ...changes,
});

const simulate = (scenario: Scenario): {readonly scenario: Scenario; readonly simulation: StopSimulation} => {
	const simulation = new StopSimulation(scenario);
	simulation.run();
	return {scenario, simulation};
};

const simulateRequests = (world: StoppingWorld, requests: readonly Request[]): void => {
	world.simulated = [simulate({
		requests, stopAt: STOP_AT_MS, graceMs: world.graceMs, concurrencyLimit: 8, loadedAt: {common: 0},
	})];
};

const getEndKinds = (simulation: StopSimulation): string[] => [...simulation.ends.entries()]
	.toSorted(([left], [right]) => left - right)
	.map(([, [end]]) => end.kind);

When('random requests, durations, failures and model loads are simulated around a stop signal', function (this: StoppingWorld) {
	this.simulated = fc.sample(SCENARIO, {numRuns: RUNS, seed: SEED}).map(scenario => simulate(scenario));
});

Then('no request that was first sent after the signal was aborted', function (this: StoppingWorld) {
	for (const {scenario, simulation} of this.simulated) {
		const cut = [...simulation.ends.entries()].filter(([, [end]]) => end.kind === 'cut').map(([index]) => index);
		const late = cut.filter(index => simulation.sentAt.get(index)![0] > scenario.stopAt);
		assert.deepEqual(late.map(index => scenario.requests[index]), []);
	}
});

Then('no request waited until the entry\'s end', function (this: StoppingWorld) {
	for (const {simulation} of this.simulated) {
		// A request whose deadline is after the last step may wait until the entry ends.
		const waiting = [...simulation.ends.entries()]
			.filter(([index, [end]]) => end.at === simulation.endsAt && !simulation.sentAt.has(index) && simulation.deadlines.get(index)! <= simulation.lastStepAt);
		assert.deepEqual(waiting, []);
	}
});

Then('every request has one end, and those that the stopping entry refused as not run did not run', function (this: StoppingWorld) {
	for (const {scenario, simulation} of this.simulated) {
		const arrived = scenario.requests.filter(({at}) => at <= simulation.lastStepAt).length;
		assert.equal(simulation.ends.size, arrived);
		for (const [index, ends] of simulation.ends) {
			assert.equal(ends.length, 1);
			const [{code, outcome}] = ends;
			const isTurnedAway = code === RESULT_CODE.Draining && outcome === OUTCOME.NotRun;
			assert.ok(!isTurnedAway || !simulation.sentAt.has(index));
		}
	}
});

Given('an entry that is told to stop {int} ms before its end', function (this: StoppingWorld, graceMs: number) {
	this.graceMs = graceMs;
});

When('requests with a deadline of {int} ms arrive 0, 4000, 5000 and 5500 ms after the signal', function (this: StoppingWorld, deadlineMs: number) {
	simulateRequests(this, [0, 4000, 5000, 5500].map(ms => newRequest({at: STOP_AT_MS + ms, deadlineMs})));
});

Then('those of 0, 4000 and 5000 ms were sent and the last one was refused', function (this: StoppingWorld) {
	assert.deepEqual(getEndKinds(this.simulated[0].simulation), ['ended', 'ended', 'ended', 'refused']);
});

When('a repeatable request with a deadline of {int} ms is sent {int} ms before the signal and breaks after it', function (this: StoppingWorld, deadlineMs: number, beforeMs: number) {
	simulateRequests(this, [newRequest({
		at: STOP_AT_MS - beforeMs, deadlineMs, runMs: 4 * beforeMs, isBreaking: true,
	})]);
});

Then('it was sent twice and ended', function (this: StoppingWorld) {
	const [{simulation}] = this.simulated;
	assert.equal(simulation.sentAt.get(0)?.length, 2);
	assert.deepEqual(getEndKinds(simulation), ['ended']);
});
