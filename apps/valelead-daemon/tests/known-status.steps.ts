import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ORDER_KIND} from '@valelead/residency';
import {type EngineStatus, LatestStatus} from 'valelead-daemon';

type StatusWorld = {
	known: LatestStatus;
	orders: number;
	isDecidable: boolean;
};

const newModels = (names: string): EngineStatus['models'] => names.split(', ').filter(Boolean).map(name => ({name, version: 1, adapters: []}));

const report = (world: StatusWorld, now: number, orderSequence: number, isBusy: boolean): void => {
	const models = newModels('a');
	const status = {
		bornAt: 0, models, pending: [], isBusy, orderSequence, queued: 0, active: 0, cacheUsedTokens: 0, cacheTokens: 1, copiesInMemory: [], copiesOnDisk: [],
	};
	world.isDecidable = world.known.update(status, now);
};

Given('an engine that has loaded {string} reports at {int} ms that it has accepted {int} orders', function (this: StatusWorld, _loaded: string, now: number, orders: number) {
	this.known = new LatestStatus();
	report(this, now, orders, false);
});

When('an order to {word} {string} is accepted at {int} ms', function (this: StatusWorld, kind: string, model: string, now: number) {
	this.known.noteAccepted({kind: kind === 'load' ? ORDER_KIND.Load : ORDER_KIND.Unload, model, adapter: ''}, 0, now);
});

When('the engine reports at {int} ms that it has accepted {int} order(s)', function (this: StatusWorld, now: number, orders: number) {
	report(this, now, orders, false);
});

When('the engine reports at {int} ms that it has accepted {int} order(s) and is busy', function (this: StatusWorld, now: number, orders: number) {
	report(this, now, orders, true);
});

When('the engine announces at {int} ms that it has loaded {string}', function (this: StatusWorld, now: number, models: string) {
	this.isDecidable = this.known.applyAnnouncement({models: newModels(models), copiesInMemory: [], copiesOnDisk: []}, now);
});

When('another run of the engine answers', function (this: StatusWorld) {
	this.known.reset();
});

Then('no order can be decided', function (this: StatusWorld) {
	assert.equal(this.isDecidable, false);
});

Then('the engine is known to be {word}, with {string} loaded', function (this: StatusWorld, state: string, models: string) {
	assert.equal(this.isDecidable, true);
	assert.equal(this.known.value!.isBusy, state === 'busy');
	assert.deepEqual(this.known.value!.models, newModels(models));
});
