import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {
	type Demand, type EngineView, type GatewayRequest, type SiteChange, LoadPlanner, newDemand,
} from 'valelead-daemon';

type PlannerWorld = {
	weightMemory: number;
	modelMemory: number;
	views: Map<string, EngineView>;
	planner: LoadPlanner;
	waiting: Demand[];
	inProgress: GatewayRequest[];
	/** Where the model was to be loaded, in the order of time. */
	sites: string[];
	changes: SiteChange[];
};

const SERVICE = 'llm';
const MODELS = ['a', 'b', 'c', 'd'];
const NOW = 1000;
const OBJECTIVE_MS = 400;
const PATIENCE_MS = 2400;
const TIME_MS = 15_000;

/** The planner has known the engines for long. */
const SETTLED_AT = -10_000;
const LOAD_MS = 800;
const STEP_MS = 50;

const split = (text: string): string[] => text.split(', ').filter(Boolean);

const newView = (id: string, held: readonly string[], copies: readonly string[], inProgress: ReadonlyMap<string, number> = new Map()): EngineView => ({
	upstream: newUpstream(id, {service: SERVICE, address: '127.0.0.1:1'}),
	models: held.map(name => ({name, version: 1, adapters: []})),
	inProgressByModel: inProgress,
	loads: [],
	copiesInMemory: [],
	copiesOnDisk: copies,
	inProgress: [...inProgress.values()].reduce((sum, count) => sum + count, 0),
	isManaged: true,
});

/** Only the fields that the planner reads. */
const newRequest = (unit: string, upstreamId = ''): GatewayRequest => {
	const [model, adapter = ''] = unit.split('/');
	const request: Pick<GatewayRequest, 'service' | 'target' | 'arrivedAt' | 'deadlineAt' | 'upstreamId'> & {readonly head: object; readonly route: object} = {
		service: SERVICE,
		target: `${SERVICE}/${unit}`,
		head: {model, adapter},
		route: {objectiveMs: OBJECTIVE_MS, callerPatienceMs: PATIENCE_MS, priority: 1},
		arrivedAt: NOW,
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
		onStoreLimit: () => undefined,
		onSiteChange: change => {
			this.changes.push(change);
		},
	});
});

Given('empty engines {string} with copies of all models', function (this: PlannerWorld, ids: string) {
	this.views = new Map(split(ids).map(id => [id, newView(id, [], MODELS)]));
});

Given('engines {string} that hold {string} with copies of all models', function (this: PlannerWorld, ids: string, held: string) {
	this.views = new Map(split(ids).map(id => [id, newView(id, split(held), MODELS)]));
});

Given('engines {string} that hold {string} with copies of {string}', function (this: PlannerWorld, ids: string, held: string, copies: string) {
	this.views = new Map(split(ids).map(id => [id, newView(id, split(held), split(copies))]));
});

Given('engine {string} holds {string} with {int} requests in progress', function (this: PlannerWorld, id: string, model: string, count: number) {
	this.views.set(id, newView(id, [model, 'b', 'c'], MODELS, new Map([[model, count]])));
});

When('{int} request(s) of the gateway wait(s) for {string}', function (this: PlannerWorld, count: number, unit: string) {
	this.waiting = Array.from({length: count}, () => newDemand(newRequest(unit)));
});

When('the sidecar of {string} tells of {int} requests of all gateways that wait for {string}', function (this: PlannerWorld, id: string, waiting: number, model: string) {
	this.views.set(id, {
		...this.views.get(id)!, loads: [{
			model, remainingMs: LOAD_MS, waiting, isStarted: false, pace: 0,
		}],
	});
});

When('{int} request for {string} is in progress at {string}', function (this: PlannerWorld, count: number, model: string, id: string) {
	this.inProgress = Array.from({length: count}, () => newRequest(model, id));
});

const getLoading = (world: PlannerWorld, model: string, isSettled = true): string[] => {
	world.planner.getNeeds([], [], isSettled ? SETTLED_AT : NOW - 1);
	const needs = world.planner.getNeeds(world.waiting, world.inProgress, NOW);
	return [...needs].filter(([, units]) => units.some(unit => unit.model === model && unit.waiting > 0)).map(([id]) => id);
};

Then('{int} engine(s) is/are to load {string}', function (this: PlannerWorld, count: number, model: string) {
	assert.equal(getLoading(this, model).length, count);
});

Then('{int} engine(s) other than {string} is/are to load {string}', function (this: PlannerWorld, count: number, id: string, model: string) {
	assert.equal(getLoading(this, model).filter(other => other !== id).length, count);
});

Given('engine {string} holds {string} and {string} with {int} requests in progress each', function (this: PlannerWorld, id: string, _copy: string, held: string, count: number) {
	this.views.set(id, newView(id, split(held), MODELS, new Map(split(held).map(model => [model, count]))));
});

When('{int} request of the gateway waits for {string} for {int} ms and no engine begins to load', function (this: PlannerWorld, count: number, model: string, waitedMs: number) {
	this.waiting = Array.from({length: count}, () => newDemand(newRequest(model)));
	this.planner.getNeeds([], [], SETTLED_AT);
	this.sites = [];
	for (let now = NOW; now <= NOW + waitedMs; now += STEP_MS) {
		const needs = this.planner.getNeeds(this.waiting, [], now);
		this.sites.push(...[...needs].filter(([, units]) => units.some(unit => unit.model === model.split('/')[0] && unit.waiting > 0)).map(([id]) => id));
	}
});

Then('it was to be loaded at {string} first and at {string} last', function (this: PlannerWorld, first: string, last: string) {
	assert.equal(this.sites.at(0), first);
	assert.equal(this.sites.at(-1), last);
});

Given('engine {string} holds {string} and keeps no other copy', function (this: PlannerWorld, id: string, model: string) {
	this.views.set(id, newView(id, [model], [model]));
});

Then('it is told that the load moved from {string} to {string} as it was stuck', function (this: PlannerWorld, from: string, to: string) {
	assert.deepEqual(this.changes.map(({fromUpstreamId, toUpstreamId, isStuck}) => ({fromUpstreamId, toUpstreamId, isStuck})), [{fromUpstreamId: from, toUpstreamId: to, isStuck: true}]);
});

Then('{string} is forecast to be loaded in {int} to {int} ms', function (this: PlannerWorld, model: string, leastMs: number, mostMs: number) {
	getLoading(this, model);
	const forecastMs = this.planner.getForecastMs(newDemand(newRequest(model)))!;
	assert.ok(forecastMs >= leastMs && forecastMs <= mostMs, String(forecastMs));
});

Then('just after the engines became known, {int} engine(s) is/are to load {string}, and there is no forecast', function (this: PlannerWorld, count: number, model: string) {
	assert.equal(getLoading(this, model, false).length, count);
	assert.equal(this.planner.getForecastMs(newDemand(newRequest(model))), undefined);
});

Then('just after the engines became known, {int} engine is to load {string}, and it is forecast in {int} ms', function (this: PlannerWorld, count: number, model: string, forecastMs: number) {
	assert.equal(getLoading(this, model, false).length, count);
	assert.equal(this.planner.getForecastMs(newDemand(newRequest(model))), forecastMs);
});
