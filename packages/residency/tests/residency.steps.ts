import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {
	type Capacity, type EngineCopyCount, type EngineCopies, type EngineOrder, type EngineModels, type LoadCandidate,
	type UnitNeed, ORDER_KIND, getRebalancingFetch, getClassWeight, getBestLoadCandidate, getNextStep,
	getPrefetch, getStoreFetchers, getSurplusReplicas, getUnitName, mutateCopyLoadRate, mutateModelWaits,
	newResidencyState,
} from '@valelead/residency';

type ResidencyWorld = {
	replicas: EngineCopyCount[];
	slots: number;
	capacity: Capacity;
	engine: EngineModels;
	state: ReturnType<typeof newResidencyState>;
	needs: UnitNeed[];
	candidates: LoadCandidate[];
	engines: EngineCopies[];
	models: string[];
	inProgress: number;
	now: number | undefined;
};

const LOAD_TIMES = {storeLoadMs: 6000, diskLoadMs: 800, memoryLoadMs: 500};
const MODELS = ['a', 'b', 'c', 'd', 'e'];
const ADAPTERS = ['x', 'y', 'z'];
const DISTANT_DUE_MS = 100_000;
const ARRIVAL_INTERVAL_MS = 500;
const OBJECTIVE_MS = 400;

const newCapacity = (weightMemory: number, adapterSlots: number, modelMemory: number, adapterMemory: number): Capacity => ({
	weightMemory,
	adapterSlots,
	models: new Map(MODELS.map(name => [name, {...LOAD_TIMES, weightMemory: modelMemory, adapterMemory}])),
});

const splitList = (text: string): string[] => text.split(', ').filter(Boolean);

/** The time after its latency objective at which a caller gives up, in milliseconds. */
const PATIENCE_MS = 6000;

const newNeed = (unit: string, waiting: number, inProgress: number, dueInMs: number, rank = 0): UnitNeed => {
	const [model, adapter = ''] = unit.split('/');
	return {
		model,
		adapter,
		waiting,
		inProgress,
		waits: waiting === 0
			? []
			: [{
				count: waiting, weight: waiting * getClassWeight(rank), dueInMs, leavesInMs: dueInMs + PATIENCE_MS,
			}],
	};
};

/** The next order to the engine; undefined if a load is delayed or there is nothing to do. */
const getNextOrder = (...terms: Parameters<typeof getNextStep>): EngineOrder | undefined => {
	const step = getNextStep(...terms);
	return step.kind === 'order' ? step.order : undefined;
};

const format = (order: EngineOrder | undefined): string => order ? `${order.kind} ${getUnitName(order.model, order.adapter)}` : '';

Given('an engine with {int} MB of memory and {int} adapter slots, with models of {int} MB and adapters of {int} MB', function (
	this: ResidencyWorld,
	memory: number,
	slots: number,
	model: number,
	adapter: number,
) {
	this.capacity = newCapacity(memory, slots, model, adapter);
	this.state = newResidencyState();
	this.needs = [];
});

const setLoadedModels = (world: ResidencyWorld, held: string, copies: readonly string[]): void => {
	world.engine = {
		isBusy: false,
		loadedElsewhere: new Set(),
		copiesInMemory: [],
		copiesOnDisk: copies,
		unconfirmedLoads: [],
		models: splitList(held).map(text => ({name: text.split('+')[0], adapters: text.split('+').slice(1)})),
	};
};

Given('it has loaded {string} and has copies of all models', function (this: ResidencyWorld, held: string) {
	setLoadedModels(this, held, MODELS);
});

Given('it has loaded {string} and has copies of {string}', function (this: ResidencyWorld, held: string, copies: string) {
	setLoadedModels(this, held, splitList(copies));
});

Given('other engines have also loaded {string}', function (this: ResidencyWorld, models: string) {
	this.engine = {...this.engine, loadedElsewhere: new Set(splitList(models))};
});

Given('it is busy', function (this: ResidencyWorld) {
	this.engine = {...this.engine, isBusy: true};
});

Given('the models were last used at times {string}', function (this: ResidencyWorld, uses: string) {
	for (const use of splitList(uses)) {
		const [model, usedAt] = use.split(':');
		this.state.lastUsedAt.set(model, Number(usedAt));
	}
});

When('{int} request waits for {string}', function (this: ResidencyWorld, count: number, unit: string) {
	this.needs.push(newNeed(unit, count, 0, DISTANT_DUE_MS));
});

When('{int} request(s) of rank {int} due in {int} ms wait(s) for {string}', function (this: ResidencyWorld, count: number, rank: number, dueInMs: number, unit: string) {
	this.needs.push(newNeed(unit, count, 0, dueInMs, rank));
});

When('{int} request due in {int} ms waits for {string}', function (this: ResidencyWorld, count: number, dueInMs: number, unit: string) {
	this.needs.push(newNeed(unit, count, 0, dueInMs));
});

When('requests for {string} arrive for {int} ms and each caller gives up after {int} ms', function (this: ResidencyWorld, unit: string, lengthMs: number, patienceMs: number) {
	for (let now = 0; now <= lengthMs; now += ARRIVAL_INTERVAL_MS) {
		const arrivals = Array.from({length: (now / ARRIVAL_INTERVAL_MS) + 1}, (_, index) => index * ARRIVAL_INTERVAL_MS).filter(arrivedAt => now - arrivedAt < patienceMs);
		this.needs = [newNeed(unit, arrivals.length, 0, arrivals[0] + OBJECTIVE_MS - now)];
		mutateModelWaits(this.state, this.needs, now);
	}
});

When('{string} has {int} request in progress', function (this: ResidencyWorld, unit: string, count: number) {
	this.needs.push(newNeed(unit, 0, count, DISTANT_DUE_MS));
});

Then('the next order is {string}', function (this: ResidencyWorld, order: string) {
	assert.equal(format(getNextOrder(this.state, this.capacity, this.engine, this.needs, this.now ?? 0)), order);
});

Then('there is no next order', function (this: ResidencyWorld) {
	assert.equal(getNextOrder(this.state, this.capacity, this.engine, this.needs, this.now ?? 0), undefined);
});

Then('the load of {string} is delayed with reason {string}', function (this: ResidencyWorld, model: string, reason: string) {
	assert.deepEqual(getNextStep(this.state, this.capacity, this.engine, this.needs, this.now ?? 0), {kind: 'delay', load: {model, reason}});
});

const getMemory = (capacity: Capacity, models: EngineModels['models']): number => {
	let sum = 0;
	for (const {name, adapters} of models) {
		const size = capacity.models.get(name)!;
		sum += size.weightMemory + (size.adapterMemory * adapters.length);
	}

	return sum;
};

/** The models that the engine has loaded after it has carried out an order. */
const getModelsAfter = (models: EngineModels['models'], {kind, model, adapter}: EngineOrder): EngineModels['models'] => {
	if (adapter === '') {
		return kind === ORDER_KIND.Load ? [...models, {name: model, adapters: []}] : models.filter(held => held.name !== model);
	}

	return models.map(held => held.name === model ? {name: model, adapters: kind === ORDER_KIND.Load ? [...held.adapters, adapter] : held.adapters.filter(name => name !== adapter)} : held);
};

const checkOrder = (capacity: Capacity, engine: EngineModels, needs: readonly UnitNeed[]): void => {
	const order = getNextOrder(newResidencyState(), capacity, engine, needs, 0);
	if (!order) {
		return;
	}

	const models = getModelsAfter(engine.models, order);
	const isNeeded = needs.some(need => need.waiting + need.inProgress > 0 && need.model === order.model && (order.adapter === '' || need.adapter === order.adapter));
	assert.equal(isNeeded, order.kind === ORDER_KIND.Load, format(order));
	if (order.kind === ORDER_KIND.Load) {
		assert.ok(getMemory(capacity, models) <= capacity.weightMemory, 'memory');
		assert.ok(models.reduce((sum, {adapters}) => sum + adapters.length, 0) <= capacity.adapterSlots, 'slots');
	}
};

When('the next order is decided for {int} random states of an engine', (runs: number) => {
	const held = fc.record({name: fc.constantFrom(...MODELS), adapters: fc.uniqueArray(fc.constantFrom(...ADAPTERS), {maxLength: 2})});
	const engine = fc.record({
		models: fc.uniqueArray(held, {selector: model => model.name, maxLength: 3}),
		isBusy: fc.boolean(),
		loadedElsewhere: fc.constant(new Set<string>()),
		copiesInMemory: fc.subarray(MODELS),
		copiesOnDisk: fc.subarray(MODELS),
		unconfirmedLoads: fc.constant([]),
	});
	const need = fc.record({
		model: fc.constantFrom(...MODELS),
		adapter: fc.constantFrom('', ...ADAPTERS),
		waiting: fc.nat(2),
		inProgress: fc.nat(2),
		waits: fc.array(fc.record({
			count: fc.nat(2), weight: fc.nat(2), dueInMs: fc.integer({min: -10_000, max: 10_000}), leavesInMs: fc.integer({min: -10_000, max: 10_000}),
		}), {maxLength: 2}),
	});
	fc.assert(fc.property(engine, fc.array(need, {maxLength: 6}), (state, needs) => {
		checkOrder(newCapacity(230, 4, 70, 5), state, needs);
	}), {numRuns: runs, seed: 11});
});

Then('no order exceeds a limit or unloads a needed unit', () => undefined);

Given('the candidate engines', function (this: ResidencyWorld, rows: DataTable) {
	this.candidates = rows.hashes().map(row => ({
		upstreamId: row.engine,
		isLoaded: row.loaded === 'yes',
		hasMemoryCopy: row.memory === 'yes',
		hasDiskCopy: row.disk === 'yes',
		copyShare: row.copies === undefined ? 1 : Number(row.copies),
		busyMs: row.busy === undefined ? 0 : Number(row.busy),
		isEvictionBlocked: row['in use'] === 'yes',
		remainingMs: row.remaining === '' ? undefined : Number(row.remaining),
		isStarted: row.started === 'yes',
		queueMs: Number(row.queue),
		slotUtilization: 0,
	}));
});

Then('the engine chosen to load {string} is one of {string}, whatever the order of the candidates', function (this: ResidencyWorld, model: string, expected: string) {
	const chosen = getBestLoadCandidate(model, LOAD_TIMES, this.candidates)!.upstreamId;
	assert.ok(splitList(expected).includes(chosen), chosen);
	assert.equal(getBestLoadCandidate(model, LOAD_TIMES, [...this.candidates].reverse())!.upstreamId, chosen);
});

Given('{int} idle engines with copies of {string} out of the models {string}', function (this: ResidencyWorld, count: number, kept: string, models: string) {
	this.models = splitList(models);
	this.engines = Array.from({length: count}, (_, index) => ({upstreamId: `engine-${index}`, models: new Set(splitList(kept)), loaded: new Set()}));
});

Then('together they prefetch {int} different models with {int} concurrent fetches', function (this: ResidencyWorld, count: number, loads: number) {
	const fetched = this.engines.map(engine => getPrefetch(engine.upstreamId, this.models, this.engines, loads)).filter(model => model !== undefined);
	assert.equal(fetched.length, count);
	assert.equal(new Set(fetched).size, count);
});

Given('replicas {string} of a model on engines with {int} slots', function (this: ResidencyWorld, names: string, slots: number) {
	this.slots = slots;
	this.models = splitList(names);
});

Given('replicas {string} of a model', function (this: ResidencyWorld, ids: string) {
	this.slots = 64;
	this.models = splitList(ids);
});

When('{int} requests are in progress', function (this: ResidencyWorld, count: number) {
	this.inProgress = count;
});

Then('{int} of the replicas are surplus, whatever their order', function (this: ResidencyWorld, count: number) {
	const replicas = this.models.map(upstreamId => ({upstreamId, copies: 10}));
	const spare = getSurplusReplicas('m', replicas, this.inProgress, this.slots);
	assert.equal(spare.size, count);
	assert.deepEqual(getSurplusReplicas('m', [...replicas].reverse(), this.inProgress, this.slots), spare);
});

Then('with few copies on {string} the other replicas are surplus', function (this: ResidencyWorld, short: string) {
	const replicas = this.models.map(upstreamId => ({upstreamId, copies: upstreamId === short ? 2 : 10}));
	assert.deepEqual([...getSurplusReplicas('m', replicas, 1, 64)].sort(), this.models.filter(id => id !== short).sort());
});

When('requests for {string} arrive for {int} ms and each is served in time from a copy, while {int} request waits for {string}', function (
	this: ResidencyWorld,
	other: string,
	lengthMs: number,
	count: number,
	unit: string,
) {
	for (let now = 0; now <= lengthMs; now += ARRIVAL_INTERVAL_MS) {
		this.needs = [newNeed(unit, count, 0, OBJECTIVE_MS - now), newNeed(other, 1, 0, DISTANT_DUE_MS)];
		mutateModelWaits(this.state, [newNeed(unit, count, 0, OBJECTIVE_MS - now)], now);
	}
});

Given('engines with copies of {string}, {string} and {string}', function (this: ResidencyWorld, first: string, second: string, third: string) {
	this.engines = [first, second, third].map((kept, index) => ({upstreamId: `engine-${index}`, models: new Set(splitList(kept)), loaded: new Set()}));
});

const getFetched = (world: ResidencyWorld): Array<string | undefined> => world.engines.map(({upstreamId}) => getRebalancingFetch(upstreamId, MODELS, world.engines, 4));

Then('the engine with copies of {string} fetches one of {string} and no other engine fetches', function (this: ResidencyWorld, kept: string, models: string) {
	const fetched = getFetched(this);
	for (const [index, engine] of this.engines.entries()) {
		const isFetching = [...engine.models].join(', ') === kept;
		assert.equal(fetched[index] !== undefined, isFetching);
		assert.ok(!isFetching || splitList(models).includes(fetched[index]!), fetched[index]);
	}
});

Then('the engine with copies of {string} fetches {string}, of which no engine has a copy', function (this: ResidencyWorld, kept: string, model: string) {
	const index = this.engines.findIndex(engine => [...engine.models].join(', ') === kept);
	assert.equal(getFetched(this)[index], model);
});

Then('no engine fetches', function (this: ResidencyWorld) {
	assert.deepEqual(getFetched(this), this.engines.map(() => undefined));
});

When('the engine has served {int} request(s) per second in time by loads from copies over the last {int} s', function (this: ResidencyWorld, count: number, seconds: number) {
	for (let second = 1; second <= seconds; second += 1) {
		this.now = second * 1000;
		mutateCopyLoadRate(this.state, count, this.now);
	}
});

const newEngines = (count: number, copies: number, emptyCount: number): EngineCopyCount[] => Array.from({length: count}, (_, index) => ({
	upstreamId: `engine-${index}`, copies: index < emptyCount ? 0 : copies,
}));

Given('{int} engines with {int} copies each', function (this: ResidencyWorld, count: number, copies: number) {
	this.replicas = newEngines(count, copies, 0);
});

Given('{int} engines with {int} copies each, {int} of them without copies', function (this: ResidencyWorld, count: number, copies: number, emptyCount: number) {
	this.replicas = newEngines(count, copies, emptyCount);
});

Then('{int} engines may fetch, whatever their order', function (this: ResidencyWorld, count: number) {
	const fetchers = getStoreFetchers(this.replicas, Number.POSITIVE_INFINITY);
	assert.equal(fetchers.size, count);
	assert.deepEqual(getStoreFetchers([...this.replicas].reverse(), Number.POSITIVE_INFINITY), fetchers);
});

Then('those are the engines without copies', function (this: ResidencyWorld) {
	const empty = this.replicas.filter(({copies}) => copies === 0).map(({upstreamId}) => upstreamId);
	assert.deepEqual([...getStoreFetchers(this.replicas, Number.POSITIVE_INFINITY)].sort(), empty.sort());
});
