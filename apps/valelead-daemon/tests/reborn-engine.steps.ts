import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {TimerService} from '@valelead/common';
import {VirtualClock} from '@valelead/emulator';
import {ORDER_KIND, ORDER_RESULT, type UnitNeed} from '@valelead/residency';
import * as fc from 'fast-check';
import {pino} from 'pino';
import {
	EngineKeeper, type EnginePort, type EngineSummary, LOCAL_POLLS, type OrderTerms,
} from 'valelead-daemon';

type RebornWorld = {
	engine: FakeEngine;
	keeper: EngineKeeper;
	clock: VirtualClock;
	summary: EngineSummary | undefined;
	isOverfull: boolean;
};

const MODELS = ['a', 'b', 'c', 'd', 'f'];
const MODEL_MEMORY = 70;
const ENGINE_MEMORY = 230;
const PLACES = 3;
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

/** An engine that may start again under its id and carry out orders late, as the platform's engines do. */
class FakeEngine {
	readonly orders: string[] = [];
	isMute = false;
	isOverfull = false;
	held: Set<string>;
	readonly #clock: VirtualClock;
	#bornAt: number;
	#sequence: number;
	#isBusy = false;

	constructor(clock: VirtualClock, bornAt: number, held: readonly string[], sequence: number) {
		this.#clock = clock;
		this.#bornAt = bornAt;
		this.held = new Set(held);
		this.#sequence = sequence;
	}

	get port(): EnginePort {
		return {
			getStatus: async () => ({
				instanceId: 'e',
				status: {
					bornAt: this.#bornAt,
					models: [...this.held].map(name => ({name, version: 1, adapters: []})),
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
		this.held = new Set();
	}

	async #order(terms: OrderTerms): ReturnType<EnginePort['order']> {
		if (this.isMute) {
			this.#clock.after(LATE_MS, () => {
				this.#take(terms);
			});
			return {result: ORDER_RESULT.Unknown, instanceId: '', reason: 'no answer'};
		}

		return {result: this.#take(terms) ? ORDER_RESULT.Accepted : ORDER_RESULT.Conflict, instanceId: 'e', reason: ''};
	}

	#take({order, expectedSequence}: OrderTerms): boolean {
		if (this.#isBusy || expectedSequence !== this.#sequence) {
			return false;
		}

		this.orders.push(`${order.kind} ${order.model} ${expectedSequence}`);
		this.#sequence += 1;
		if (order.kind === ORDER_KIND.Unload) {
			this.held.delete(order.model);
			return true;
		}

		this.#isBusy = true;
		this.isOverfull ||= !this.held.has(order.model) && this.held.size >= PLACES;
		const bornAt = this.#bornAt;
		this.#clock.after(LOAD_MS, () => {
			if (this.#bornAt === bornAt) {
				this.#isBusy = false;
				this.held.add(order.model);
			}
		});
		return true;
	}
}

const start = async (world: RebornWorld, bornAt: number, held: string, sequence: number): Promise<void> => {
	world.clock = new VirtualClock();
	world.engine = new FakeEngine(world.clock, bornAt, split(held), sequence);
	world.keeper = new EngineKeeper({
		holder: 'k',
		concurrentStoreLoads: 0,
		client: world.engine.port,
		timers: new TimerService(world.clock, world.clock),
		clock: world.clock,
		logger: pino({level: 'silent'}),
		fence: 1,
		polls: LOCAL_POLLS,
	});
	world.keeper.subscribe(summary => {
		world.summary = summary;
	});
	world.keeper.setCapacity({weightMemory: ENGINE_MEMORY, adapterSlots: 8, models: new Map(MODELS.map(name => [name, SIZE]))});
	world.keeper.setRun({instanceId: 'e', bornAt});
	world.keeper.start();
	await pass(world, SETTLE_MS);
};

const pass = async ({clock}: RebornWorld, ms: number): Promise<void> => clock.runUntil(clock.now() + ms);

Given('a keeper of engine {string} born at {int} that holds {string} and has taken {int} orders', async function (this: RebornWorld, _id: string, bornAt: number, held: string, sequence: number) {
	await start(this, bornAt, held, sequence);
});

Given('the engine leaves orders without an answer', function (this: RebornWorld) {
	this.engine.isMute = true;
});

When('the engine answers orders again', function (this: RebornWorld) {
	this.engine.isMute = false;
});

When('the engine starts again, born at {int}, holding nothing', async function (this: RebornWorld, bornAt: number) {
	this.engine.orders.length = 0;
	this.engine.restart(bornAt);
	await pass(this, LOAD_MS);
});

When('the engine starts again at once, born at {int}, holding nothing', async function (this: RebornWorld, bornAt: number) {
	this.engine.orders.length = 0;
	this.engine.restart(bornAt);
	this.keeper.setRun({instanceId: 'e', bornAt});
	await pass(this, LOAD_MS / 4);
});

When('a gateway begins to wait for {string}', async function (this: RebornWorld, model: string) {
	this.keeper.setNeeds('g', [newNeed(model)]);
	await pass(this, LOAD_MS / 4);
});

When('its directory still names the run born at {int}', async function (this: RebornWorld, bornAt: number) {
	await pass(this, SETTLE_MS);
	this.keeper.setRun({instanceId: 'e', bornAt});
	await pass(this, SETTLE_MS);
});

When('a gateway waits for {string}', async function (this: RebornWorld, models: string) {
	this.keeper.setNeeds('g', split(models).map(model => newNeed(model)));
	await pass(this, LOAD_MS);
});

/** Needs a model after the other, and no more of it once it is loaded. */
const waitInTurn = async (world: RebornWorld, models: readonly string[]): Promise<void> => {
	for (const model of models) {
		world.keeper.setNeeds('g', [newNeed(model)]);
		await pass(world, 2 * LOAD_MS);
	}

	world.keeper.setNeeds('g', []);
};

When('a gateway waits for {string} in turn', async function (this: RebornWorld, models: string) {
	await waitInTurn(this, split(models));
});

Then('the engine is ordered to load {string} at order {int}', function (this: RebornWorld, model: string, sequence: number) {
	assert.deepEqual(this.engine.orders, [`load ${model} ${sequence}`]);
});

Then('gateways are told that run {string} holds {string}', function (this: RebornWorld, runId: string, models: string) {
	assert.equal(this.summary?.upstreamId, runId);
	assert.deepEqual(this.summary.models.map(model => model.name), split(models));
});

Then('the engine holds at most {int} models when the order of before is carried out late', async function (this: RebornWorld, most: number) {
	await pass(this, 2 * LATE_MS);
	assert.equal(this.engine.isOverfull, false);
	assert.ok(this.engine.held.size <= most);
});

When('{int} random histories of restarts, orders without an answer and late orders are played', {timeout: 60_000}, async function (this: RebornWorld, count: number) {
	const cycle = fc.record({
		lost: fc.subarray(MODELS), wanted: fc.shuffledSubarray(MODELS), lostMs: fc.integer({min: 10, max: 1000}), betweenMs: fc.integer({min: 0, max: 3000}),
	});
	this.isOverfull = false;
	await fc.assert(fc.asyncProperty(fc.integer({min: 2, max: 8}), fc.array(cycle, {minLength: 1, maxLength: 4}), async (sequence, cycles) => {
		await start(this, 1000, 'a, b', sequence);
		for (const [index, {lost, wanted, lostMs, betweenMs}] of cycles.entries()) {
			this.engine.isMute = true;
			this.keeper.setNeeds('g', lost.map(model => newNeed(model)));
			await pass(this, lostMs);
			this.engine.restart(2000 + index);
			this.engine.isMute = false;
			await waitInTurn(this, wanted);
			await pass(this, betweenMs);
		}

		await pass(this, 2 * LATE_MS);
		assert.equal(this.engine.isOverfull, false);
	}), {numRuns: count, seed: 31});
});

Then('no engine was ordered beyond its memory', function (this: RebornWorld) {
	assert.equal(this.engine.isOverfull, false);
});
