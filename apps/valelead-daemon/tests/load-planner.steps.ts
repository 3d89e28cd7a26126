import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {
	type Demand, type EngineView, type GatewayRequest, type PlacementChange, LoadPlanner, newDemand,
} from 'valelead-daemon';

type PlannerWorld = {
	weightMemory: number;
	modelMemory: number;
	views: Map<string, EngineView>;
	planner: LoadPlanner;
	waiting: Demand[];
	inProgress: GatewayRequest[];
	/** Ids of the engines that were chosen to load the model, in chronological order. */
	chosenIds: string[];
	changes: PlacementChange[];
};

const SERVICE = 'llm';
const MODELS = ['a', 'b', 'c', 'd'];
const NOW = 1000;
const OBJECTIVE_MS = 400;
const PATIENCE_MS = 2400;
const TIME_MS = 15_000;

/** When the planner discovered the engines: long enough before `NOW` to count as known. */
const SETTLED_AT = -10_000;
const LOAD_MS = 800;
const STEP_MS = 50;

const split = (text: string): string[] => text.split(', ').filter(Boolean);

const newView = (id: string, loaded: readonly string[], copies: readonly string[], inProgress: ReadonlyMap<string, number> = new Map()): EngineView => ({
	upstream: newUpstream(id, {service: SERVICE, address: '127.0.0.1:1'}),
	models: loaded.map(name => ({name, version: 1, adapters: []})),
	inProgressByModel: inProgress,
	loads: [],
	copiesInMemory: [],
	copiesOnDisk: copies,
	inProgress: [...inProgress.values()].reduce((sum, count) => sum + count, 0),
	isManaged: true,
});

/** Creates a request that has only the fields that the planner reads. */
const newRequest = (unit: string, upstreamId = ''): GatewayRequest => {
	const [model, adapter = ''] = unit.split('/');
	const request: Pick<GatewayRequest, 'service' | 'target' | 'arrivedAt' | 'lastChunkAt' | 'deadlineAt' | 'upstreamId'> & {readonly head: object; readonly route: object} = {
		service: SERVICE,
		target: `${SERVICE}/${unit}`,
		head: {model, adapter},
		route: {objectiveMs: OBJECTIVE_MS, callerPatienceMs: PATIENCE_MS, priority: 1},
		arrivedAt: NOW,
		lastChunkAt: NOW,
		deadlineAt: NOW + TIME_MS,
		upstreamId,
	};
	return request as GatewayRequest;
};

Given('engines of {int} units of memory and models of {int} units', function (this: PlannerWorld, weightMemory: number, modelMemory: number) {
	const models = MODELS.map(name => ({
		name, weightMemory: modelMemory, adapterMemory: 1, storeLoadMs: 6000, diskLoadMs: 800, memoryLoadMs: 500,
	}));
	const table = {services: new Map([[SERVICE, {engine: {weightMemory, models}}]])};
	this.views = new Map();
	this.waiting = [];
	this.inProgress = [];
	this.changes = [];
	this.planner = new LoadPlanner({
		getTable: () => table as never,
		getViews: () => this.views,
		isUsable: () => true,
		onStoreLimitChange: () => undefined,
		onPlacementChange: change => {
			this.changes.push(change);
		},
	});
});

Given('empty engines {string} with copies of all models', function (this: PlannerWorld, ids: string) {
	this.views = new Map(split(ids).map(id => [id, newView(id, [], MODELS)]));
});

Given('engines {string} that have loaded {string} and have copies of all models', function (this: PlannerWorld, ids: string, loaded: string) {
	this.views = new Map(split(ids).map(id => [id, newView(id, split(loaded), MODELS)]));
});

Given('engines {string} that have loaded {string} and have copies of {string}', function (this: PlannerWorld, ids: string, loaded: string, copies: string) {
	this.views = new Map(split(ids).map(id => [id, newView(id, split(loaded), split(copies))]));
});

Given('engine {string} has loaded {string} with {int} requests in progress', function (this: PlannerWorld, id: string, model: string, count: number) {
	this.views.set(id, newView(id, [model, 'b', 'c'], MODELS, new Map([[model, count]])));
});

When('{int} request(s) of the gateway wait(s) for {string}', function (this: PlannerWorld, count: number, unit: string) {
	this.waiting = Array.from({length: count}, () => newDemand(newRequest(unit)));
});

Given('engine {string} has software version {string}', function (this: PlannerWorld, id: string, softwareVersion: string) {
	const view = this.views.get(id)!;
	this.views.set(id, {...view, upstream: {...view.upstream, softwareVersion}});
});

When('{int} request that resumes a stream of software version {string} waits for {string}', function (this: PlannerWorld, count: number, softwareVersion: string, unit: string) {
	const origin = {service: SERVICE, softwareVersion, runId: 'an earlier run'};
	this.waiting = Array.from({length: count}, () => newDemand({...newRequest(unit), origin}));
});

Then('engines {string} are chosen to load {string}', function (this: PlannerWorld, ids: string, model: string) {
	assert.deepEqual(getChosenIds(this, model), split(ids));
});

Then('no time is forecast for it', function (this: PlannerWorld) {
	assert.equal(this.planner.getForecastMs(this.waiting[0]), undefined);
});

When('the sidecar of {string} reports {int} requests of all gateways that wait for {string}', function (this: PlannerWorld, id: string, waiting: number, model: string) {
	this.views.set(id, {
		...this.views.get(id)!, loads: [{
			model, remainingMs: LOAD_MS, waiting, isStarted: false, pace: 0,
		}],
	});
});

When('{int} request for {string} is in progress at {string}', function (this: PlannerWorld, count: number, model: string, id: string) {
	this.inProgress = Array.from({length: count}, () => newRequest(model, id));
});

const getChosenIds = (world: PlannerWorld, model: string, isSettled = true): string[] => {
	world.planner.getNeeds([], [], isSettled ? SETTLED_AT : NOW - 1);
	const needs = world.planner.getNeeds(world.waiting, world.inProgress, NOW);
	return [...needs].filter(([, units]) => units.some(unit => unit.model === model && unit.waiting > 0)).map(([id]) => id);
};

Then('{int} engine(s) is/are chosen to load {string}', function (this: PlannerWorld, count: number, model: string) {
	assert.equal(getChosenIds(this, model).length, count);
});

Then('{int} engine(s) other than {string} is/are chosen to load {string}', function (this: PlannerWorld, count: number, id: string, model: string) {
	assert.equal(getChosenIds(this, model).filter(other => other !== id).length, count);
});

Given('engine {string} has {string} and has loaded {string} with {int} requests in progress each', function (this: PlannerWorld, id: string, _copy: string, loaded: string, count: number) {
	this.views.set(id, newView(id, split(loaded), MODELS, new Map(split(loaded).map(model => [model, count]))));
});

When('{int} request of the gateway waits for {string} for {int} ms and no engine begins to load', function (this: PlannerWorld, count: number, model: string, waitedMs: number) {
	this.waiting = Array.from({length: count}, () => newDemand(newRequest(model)));
	this.planner.getNeeds([], [], SETTLED_AT);
	this.chosenIds = [];
	for (let now = NOW; now <= NOW + waitedMs; now += STEP_MS) {
		const needs = this.planner.getNeeds(this.waiting, [], now);
		this.chosenIds.push(...[...needs].filter(([, units]) => units.some(unit => unit.model === model.split('/')[0] && unit.waiting > 0)).map(([id]) => id));
	}
});

Then('the first chosen engine is {string} and the last one is {string}', function (this: PlannerWorld, first: string, last: string) {
	assert.equal(this.chosenIds.at(0), first);
	assert.equal(this.chosenIds.at(-1), last);
});

Given('engine {string} has loaded {string} and has no other copy', function (this: PlannerWorld, id: string, model: string) {
	this.views.set(id, newView(id, [model], [model]));
});

Then('the load is reported to have moved from {string} to {string} because it was stuck', function (this: PlannerWorld, from: string, to: string) {
	assert.deepEqual(this.changes.map(({fromUpstreamId, toUpstreamId, isStuck}) => ({fromUpstreamId, toUpstreamId, isStuck})), [{fromUpstreamId: from, toUpstreamId: to, isStuck: true}]);
});

Then('{string} is forecast to be loaded in {int} to {int} ms', function (this: PlannerWorld, model: string, leastMs: number, mostMs: number) {
	getChosenIds(this, model);
	const forecastMs = this.planner.getForecastMs(newDemand(newRequest(model)))!;
	assert.ok(forecastMs >= leastMs && forecastMs <= mostMs, String(forecastMs));
});

Then('just after discovery, {int} engine(s) is/are chosen to load {string}, and there is no forecast', function (this: PlannerWorld, count: number, model: string) {
	assert.equal(getChosenIds(this, model, false).length, count);
	assert.equal(this.planner.getForecastMs(newDemand(newRequest(model))), undefined);
});

Then('just after discovery, {int} engine is chosen to load {string}, and it is forecast in {int} ms', function (this: PlannerWorld, count: number, model: string, forecastMs: number) {
	assert.equal(getChosenIds(this, model, false).length, count);
	assert.equal(this.planner.getForecastMs(newDemand(newRequest(model))), forecastMs);
});
