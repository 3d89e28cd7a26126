import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {newRandom} from '../../../tests/support/new-random.js';
import {STREAM_FAULT_KIND} from './stream-fault-kind.js';
import {STREAM_FAULT_STEP} from './stream-fault-step.js';
import {StreamSimulation} from './stream-simulation.js';
import type {AttemptShare} from './attempt-share.js';

type Step = typeof STREAM_FAULT_STEP extends fc.Arbitrary<infer Value> ? Value : never;

type HistoriesWorld = {
	/** Streams that hold events of several sources, and streams with missing or repeated events. */
	mixed: string[];
	broken: string[];
	streams: number;
	begun: AttemptShare;
	resumed: AttemptShare;
};

const SEED = Number(process.env.STREAM_HISTORIES_SEED ?? '1');
const MS_PER_SECOND = 1000;
const STEP_MS = 10;
const STARTUP_MS = 1000;

/** Time between the begins of two streams, in milliseconds. */
const BEGIN_INTERVAL_MS = 60;

/** Time in which all streams end, resumed ones included, in milliseconds. */
const END_MS = 5000;

/** Share of the rule: resumed streams go on at least this often, as a part of the share of new streams that begin. */
const LEAST_PART = 0.5;

/** Fewer resumed streams than this say nothing about their share. */
const LEAST_RESUMED = 12;

/** Advances virtual time in small steps and runs pending promise callbacks after each. */
const advance = async ({time}: StreamSimulation, ms: number): Promise<void> => {
	for (let passed = 0; passed < ms; passed += STEP_MS) {
		time.advance(Math.min(STEP_MS, ms - passed));
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
};

const apply = (simulation: StreamSimulation, {kind, index, holder, forMs, service, softwareVersion}: Step): void => {
	const actions = {
		[STREAM_FAULT_KIND.KillGateway]() {
			simulation.killGateway(index);
		},
		[STREAM_FAULT_KIND.FreezeGateway]() {
			simulation.freezeGateway(index, forMs);
		},
		[STREAM_FAULT_KIND.KillHolder]() {
			simulation.killHolder(holder);
		},
		[STREAM_FAULT_KIND.KillAllHolders]() {
			simulation.killAllHolders();
		},
		[STREAM_FAULT_KIND.CutFromHolder]() {
			simulation.cut(index, holder, forMs);
		},
		[STREAM_FAULT_KIND.CutOff]() {
			simulation.cut(index, undefined, forMs);
		},
		[STREAM_FAULT_KIND.EndEngine]() {
			simulation.endEngine(index);
		},
		[STREAM_FAULT_KIND.AddEngine]() {
			simulation.addEngine(service, softwareVersion);
		},
	};
	actions[kind]();
};

const newSimulation = async (seed: number, isOriginUsed: boolean): Promise<StreamSimulation> => {
	const simulation = new StreamSimulation({random: newRandom(seed), isOriginUsed});
	for (const service of ['s', 't']) {
		for (const softwareVersion of ['v1', 'v1', 'v2', 'v2']) {
			simulation.addEngine(service, softwareVersion);
		}
	}

	await advance(simulation, STARTUP_MS);
	return simulation;
};

const runHistory = async (simulation: StreamSimulation, steps: readonly Step[], seconds: number): Promise<void> => {
	let nextStep = 0;
	let stepAt = STARTUP_MS + (steps[0]?.afterMs ?? 0);
	const endsAt = STARTUP_MS + (seconds * MS_PER_SECOND);
	while (simulation.time.now < endsAt) {
		simulation.begin();
		await advance(simulation, BEGIN_INTERVAL_MS);
		while (nextStep < steps.length && simulation.time.now >= stepAt) {
			if (simulation.engines.length > 2 || steps[nextStep].kind !== STREAM_FAULT_KIND.EndEngine) {
				apply(simulation, steps[nextStep]);
			}

			nextStep += 1;
			stepAt += steps[nextStep]?.afterMs ?? 0;
		}
	}

	await advance(simulation, END_MS);
};

const runHistories = async (world: HistoriesWorld, seconds: number, [first, last]: readonly [number, number], isOriginUsed: boolean): Promise<void> => {
	Object.assign(world, {
		mixed: [], broken: [], streams: 0, begun: {tries: 0, served: 0}, resumed: {tries: 0, served: 0},
	});
	const histories = fc.sample(fc.array(STREAM_FAULT_STEP, {minLength: 3, maxLength: 14}), {seed: SEED, numRuns: last}).entries();
	for (const [index, steps] of [...histories].slice(first - 1)) {
		const seed = (SEED * MS_PER_SECOND) + index;
		const simulation = await newSimulation(seed, isOriginUsed);
		await runHistory(simulation, steps, seconds);
		for (const {name, sources, isBroken} of simulation.streams) {
			if (new Set(sources).size > 1) {
				world.mixed.push(`history ${seed}, ${name}: ${sources.join(' ')}`);
			}

			if (isBroken) {
				world.broken.push(`history ${seed}, ${name}`);
			}
		}

		world.streams += simulation.streams.length;
		for (const share of ['begun', 'resumed'] as const) {
			world[share].tries += simulation[share].tries;
			world[share].served += simulation[share].served;
		}
	}
};

When('callers stream for {int} seconds in random histories {int} to {int}', {timeout: 100_000}, async function (this: HistoriesWorld, seconds: number, first: number, last: number) {
	await runHistories(this, seconds, [first, last], true);
});

When('callers stream for {int} seconds in random histories {int} to {int} without the memory of where streams began', async function (
	this: HistoriesWorld,
	seconds: number,
	first: number,
	last: number,
) {
	await runHistories(this, seconds, [first, last], false);
});

Then('no caller holds events of two services or software versions', function (this: HistoriesWorld) {
	assert.deepEqual(this.mixed, []);
});

Then('every caller holds each event once and in order', function (this: HistoriesWorld) {
	assert.deepEqual(this.broken, []);
});

Then('of the streams resumed in touch, at least half the share goes on of the new streams that begin in touch', function (this: HistoriesWorld) {
	const {begun, resumed} = this;
	assert.ok(resumed.tries >= LEAST_RESUMED, `${resumed.tries} streams resumed`);
	const begunShare = begun.served / begun.tries;
	const resumedShare = resumed.served / resumed.tries;
	assert.ok(resumedShare >= begunShare * LEAST_PART, `${resumedShare} of ${resumed.tries} resumed, ${begunShare} of ${begun.tries} begun`);
});

Then('some callers hold events of two services or software versions', function (this: HistoriesWorld) {
	assert.ok(this.mixed.length > 0, `none of ${this.streams} streams`);
});
