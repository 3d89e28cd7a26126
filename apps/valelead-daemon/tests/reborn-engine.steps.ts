import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {TimerService} from '@valelead/common';
import {VirtualClock} from '@valelead/emulator';
import {ORDER_KIND, ORDER_RESULT, type UnitNeed} from '@valelead/residency';
import * as fc from 'fast-check';
import {pino} from 'pino';
import {
	EngineManager, type EnginePort, type EngineSummary, LOCAL_POLL_INTERVALS, type ConditionalOrder,
} from 'valelead-daemon';

type RestartWorld = {
	engine: FakeEngine;
	manager: EngineManager;
	clock: VirtualClock;
	summary: EngineSummary | undefined;
	isMemoryExceeded: boolean;
};

const MODELS = ['a', 'b', 'c', 'd', 'f'];
const MODEL_MEMORY = 70;
const ENGINE_MEMORY = 230;
const MAX_MODELS = 3;
const LOAD_MS = 400;
const LATE_MS = 4000;
const SETTLE_MS = 3000;
const SIZE = {
	weightMemory: MODEL_MEMORY, adapterMemory: 5, storeLoadMs: LOAD_MS, diskLoadMs: LOAD_MS, memoryLoadMs: LOAD_MS,
};

const split = (names: string): string[] => names.split(', ').filter(Boolean);

const newNeed = (model: string): UnitNeed => ({
	model, adapter: '', waiting: 1, inProgress: 0, waits: [{
		count: 1, weight: 1, dueInMs: 2000, leavesInMs: 20_000,
	}],
});

/** A fake engine that can restart under its id and carry out orders late, as the platform's engines may. */
class FakeEngine {
	readonly orders: string[] = [];
	isUnresponsive = false;
	isMemoryExceeded = false;
	loaded: Set<string>;
	readonly #clock: VirtualClock;
	#bornAt: number;
	#sequence: number;
	#isBusy = false;

	constructor(clock: VirtualClock, bornAt: number, loaded: readonly string[], sequence: number) {
		this.#clock = clock;
		this.#bornAt = bornAt;
		this.loaded = new Set(loaded);
		this.#sequence = sequence;
	}

	get port(): EnginePort {
		return {
			getStatus: async () => ({
				instanceId: 'e',
				status: {
					bornAt: this.#bornAt,
					models: [...this.loaded].map(name => ({name, version: 1, adapters: []})),
					pending: [],
					isBusy: this.#isBusy,
					orderSequence: this.#sequence,
					queued: 0,
					active: 0,
					cacheUsedTokens: 0,
					cacheTokens: 1,
					copiesInMemory: [],
					copiesOnDisk: MODELS,
				},
			}),
			order: async terms => this.#order(terms),
		};
	}

	restart(bornAt: number): void {
		this.#bornAt = bornAt;
		this.#sequence = 0;
		this.#isBusy = false;
		this.loaded = new Set();
	}

	async #order(terms: ConditionalOrder): ReturnType<EnginePort['order']> {
		if (this.isUnresponsive) {
			this.#clock.schedule(LATE_MS, () => {
				this.#take(terms);
			});
			return {result: ORDER_RESULT.Unknown, instanceId: '', reason: 'no answer'};
		}

		return {result: this.#take(terms) ? ORDER_RESULT.Accepted : ORDER_RESULT.Conflict, instanceId: 'e', reason: ''};
	}

	#take({order, expectedSequence}: ConditionalOrder): boolean {
		if (this.#isBusy || expectedSequence !== this.#sequence) {
			return false;
		}

		this.orders.push(`${order.kind} ${order.model} ${expectedSequence}`);
		this.#sequence += 1;
		if (order.kind === ORDER_KIND.Unload) {
			this.loaded.delete(order.model);
			return true;
		}

		this.#isBusy = true;
		this.isMemoryExceeded ||= !this.loaded.has(order.model) && this.loaded.size >= MAX_MODELS;
		const bornAt = this.#bornAt;
		this.#clock.schedule(LOAD_MS, () => {
			if (this.#bornAt === bornAt) {
				this.#isBusy = false;
				this.loaded.add(order.model);
			}
		});
		return true;
	}
}

const start = async (world: RestartWorld, bornAt: number, loaded: string, sequence: number): Promise<void> => {
	world.clock = new VirtualClock();
	world.engine = new FakeEngine(world.clock, bornAt, split(loaded), sequence);
	world.manager = new EngineManager({
		holder: 'k',
		concurrentStoreLoads: 0,
		client: world.engine.port,
		timers: new TimerService(world.clock, world.clock),
		clock: world.clock,
		logger: pino({level: 'silent'}),
		fence: 1,
		pollIntervals: LOCAL_POLL_INTERVALS,
	});
	world.manager.subscribe(summary => {
		world.summary = summary;
	});
	world.manager.setCapacity({weightMemory: ENGINE_MEMORY, adapterSlots: 8, models: new Map(MODELS.map(name => [name, SIZE]))});
	world.manager.setRun({instanceId: 'e', bornAt});
	world.manager.start();
	await pass(world, SETTLE_MS);
};

const pass = async ({clock}: RestartWorld, ms: number): Promise<void> => clock.runUntil(clock.now() + ms);

Given('a manager of engine {string} with start time {int}, models {string} and {int} accepted orders', async function (this: RestartWorld, _id: string, bornAt: number, names: string, orders: number) {
	await start(this, bornAt, names, orders);
});

Given('the engine does not reply to orders', function (this: RestartWorld) {
	this.engine.isUnresponsive = true;
});

When('the engine replies to orders again', function (this: RestartWorld) {
	this.engine.isUnresponsive = false;
});

When('the engine restarts with start time {int} and no models', async function (this: RestartWorld, bornAt: number) {
	this.engine.orders.length = 0;
	this.engine.restart(bornAt);
	await pass(this, LOAD_MS);
});

When('the engine restarts at once with start time {int} and no models', async function (this: RestartWorld, bornAt: number) {
	this.engine.orders.length = 0;
	this.engine.restart(bornAt);
	this.manager.setRun({instanceId: 'e', bornAt});
	await pass(this, LOAD_MS / 4);
});

When('a gateway begins to wait for {string}', async function (this: RestartWorld, model: string) {
	this.manager.setNeeds('g', [newNeed(model)]);
	await pass(this, LOAD_MS / 4);
});

When('the directory still lists the run with start time {int}', async function (this: RestartWorld, bornAt: number) {
	await pass(this, SETTLE_MS);
	this.manager.setRun({instanceId: 'e', bornAt});
	await pass(this, SETTLE_MS);
});

When('a gateway waits for {string}', async function (this: RestartWorld, models: string) {
	this.manager.setNeeds('g', split(models).map(model => newNeed(model)));
	await pass(this, LOAD_MS);
});

/** Needs each model in turn, and stops needing it after the time of two loads. */
const needInTurn = async (world: RestartWorld, models: readonly string[]): Promise<void> => {
	for (const model of models) {
		world.manager.setNeeds('g', [newNeed(model)]);
		await pass(world, 2 * LOAD_MS);
	}

	world.manager.setNeeds('g', []);
};

When('a gateway waits for {string} one after the other', async function (this: RestartWorld, models: string) {
	await needInTurn(this, split(models));
});

Then('the engine is ordered to load {string} with sequence number {int}', function (this: RestartWorld, model: string, sequence: number) {
	assert.deepEqual(this.engine.orders, [`load ${model} ${sequence}`]);
});

Then('the manager reports that run {string} has loaded {string}', function (this: RestartWorld, runId: string, models: string) {
	assert.equal(this.summary?.upstreamId, runId);
	assert.deepEqual(this.summary.models.map(model => model.name), split(models));
});

Then('the engine has loaded at most {int} models after the earlier order is carried out late', async function (this: RestartWorld, most: number) {
	await pass(this, 2 * LATE_MS);
	assert.equal(this.engine.isMemoryExceeded, false);
	assert.ok(this.engine.loaded.size <= most);
});

When('{int} random histories of restarts, unanswered orders and late orders are simulated', {timeout: 60_000}, async function (this: RestartWorld, count: number) {
	const cycle = fc.record({
		lost: fc.subarray(MODELS), wanted: fc.shuffledSubarray(MODELS), lostMs: fc.integer({min: 10, max: 1000}), betweenMs: fc.integer({min: 0, max: 3000}),
	});
	this.isMemoryExceeded = false;
	await fc.assert(fc.asyncProperty(fc.integer({min: 2, max: 8}), fc.array(cycle, {minLength: 1, maxLength: 4}), async (sequence, cycles) => {
		await start(this, 1000, 'a, b', sequence);
		for (const [index, {lost, wanted, lostMs, betweenMs}] of cycles.entries()) {
			this.engine.isUnresponsive = true;
			this.manager.setNeeds('g', lost.map(model => newNeed(model)));
			await pass(this, lostMs);
			this.engine.restart(2000 + index);
			this.engine.isUnresponsive = false;
			await needInTurn(this, wanted);
			await pass(this, betweenMs);
		}

		await pass(this, 2 * LATE_MS);
		assert.equal(this.engine.isMemoryExceeded, false);
	}), {numRuns: count, seed: 31});
});

Then('no engine was ordered to load more than fits into its memory', function (this: RestartWorld) {
	assert.equal(this.engine.isMemoryExceeded, false);
});
