import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {
	type UnitNeed, getAgedNeed, getClassWeight, getLoadQueue, getMergedNeeds,
} from '@valelead/residency';

type UrgencyWorld = {
	loadMs: number;
	needs: UnitNeed[];
	inTimeCount: number;
};

/** The time that an engine and its manager need for a swap besides the load, and for the first event, in milliseconds. */
const SWAP_MS = 100;
const FIRST_EVENT_MS = 150;

const getQueue = (world: UrgencyWorld, needs: readonly UnitNeed[]): string[] => getLoadQueue({
	loaded: new Set(), needs, getLoadMs: () => world.loadMs, getModelWaitMs: () => 0,
});

Given('loads of {int} ms for requests', function (this: UrgencyWorld, loadMs: number, table: DataTable) {
	this.loadMs = loadMs;
	this.needs = table.hashes().map(row => ({
		model: row.model,
		adapter: '',
		waiting: Number(row.count),
		inProgress: 0,
		waits: [{
			count: Number(row.count), weight: Number(row.count) * getClassWeight(Number(row.rank)), dueInMs: Number(row.due), leavesInMs: Number(row.leaves),
		}],
		isUrgencyOrdered: true,
	}));
});

When('an older gateway needs {string} too', function (this: UrgencyWorld, model: string) {
	const need = this.needs.find(other => other.model === model)!;
	this.needs = getMergedNeeds([{...need, isUrgencyOrdered: false}, ...this.needs]);
});

When('the engine loads one model after the other', function (this: UrgencyWorld) {
	let needs: readonly UnitNeed[] = [...this.needs];
	this.inTimeCount = 0;
	while (needs.length > 0) {
		const [next] = getQueue(this, needs);
		const {waiting, waits} = needs.find(({model}) => model === next)!;
		this.inTimeCount += waits[0].dueInMs >= this.loadMs + FIRST_EVENT_MS ? waiting : 0;
		needs = needs.filter(({model}) => model !== next).map(need => getAgedNeed(need, this.loadMs + SWAP_MS));
	}
});

Then('all {int} requests are in time', function (this: UrgencyWorld, count: number) {
	assert.equal(this.inTimeCount, count);
});

Then('the loads are ordered {string}', function (this: UrgencyWorld, order: string) {
	assert.deepEqual(getQueue(this, this.needs), order.split(', '));
});

Then('without urgency they are ordered {string}', function (this: UrgencyWorld, order: string) {
	assert.deepEqual(getQueue(this, this.needs.map(need => ({...need, isUrgencyOrdered: false}))), order.split(', '));
});
