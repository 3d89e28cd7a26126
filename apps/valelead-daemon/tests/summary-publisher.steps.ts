import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {type EngineSummary, SummaryPublisher} from 'valelead-daemon';

type PublisherWorld = {
	time: VirtualTime;
	publisher: SummaryPublisher;
	held: Map<string, number>;
	/** Times at which the first follower received a summary. */
	told: number[];
	changedAt: number;
};

/** The longest delay of a small change, in milliseconds. */
const SMALL_CHANGE_MS = 1000;

/** Longer than the delay of any change, in milliseconds. */
const SETTLED_MS = 2000;

const newSummary = (held: ReadonlyMap<string, number>): EngineSummary => ({
	upstreamId: 'e1',
	models: [...held].map(([name, inProgress]) => ({
		name, version: 1, adapters: [], inProgress,
	})),
	loads: [],
	copiesInMemory: [],
	copiesOnDisk: [],
	inProgress: [...held.values()].reduce((sum, count) => sum + count, 0),
	waiting: 0,
	cacheShare: 0,
});

Given('a sidecar with {int} followers that has published {string} with {int} requests', function (this: PublisherWorld, followers: number, model: string, requests: number) {
	this.time = new VirtualTime();
	this.held = new Map([[model, requests]]);
	this.told = [];
	this.publisher = new SummaryPublisher({
		timers: newVirtualTimers(this.time),
		clock: {now: () => this.time.now, wallNow: () => this.time.now},
		getSummary: () => newSummary(this.held),
	});
	for (let index = 0; index < followers; index += 1) {
		this.publisher.subscribe(() => {
			if (index === 0) {
				this.told.push(this.time.now);
			}
		});
	}

	this.publisher.publish();
	this.time.advance(SETTLED_MS);
	this.told = [];
	this.changedAt = this.time.now;
});

When('it loads {string}', function (this: PublisherWorld, models: string) {
	this.held = new Map(models.split(', ').map(model => [model, 0]));
	this.publisher.publish();
});

When('{string} has {int} requests', function (this: PublisherWorld, model: string, requests: number) {
	this.held.set(model, requests);
	this.publisher.schedulePublish();
});

Then('it has published one more summary within {int} ms', function (this: PublisherWorld, limitMs: number) {
	this.time.advance(Math.max(0, this.changedAt + limitMs - this.time.now));
	assert.equal(this.told.length, 1);
});

Then('it has published no further summary within {int} ms', function (this: PublisherWorld, limitMs: number) {
	this.time.advance(this.changedAt + limitMs - this.time.now);
	assert.deepEqual(this.told, []);
});

Then('it has published one/two summary/summaries in all within {int} ms', function (this: PublisherWorld, limitMs: number) {
	this.time.advance(this.changedAt + limitMs - this.time.now);
	assert.equal(this.told.length, limitMs > SMALL_CHANGE_MS ? 2 : 1);
});
