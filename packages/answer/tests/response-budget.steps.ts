import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {ResponseBudget} from '@valelead/answer';

type BudgetWorld = {
	budget: ResponseBudget<string>;
	largest: string | undefined;
	/** The most bytes that were held after the named response had ended, and whether the total was always that of what was held. */
	mostBytes: number;
	isTotalRight: boolean;
};

const MAX_BYTES = 1000;
const HOLDERS = 20;
const SEED = 55;
const CHANGES = 5000;

Given('a budget of {int} bytes', function (this: BudgetWorld, maxBytes: number) {
	this.budget = new ResponseBudget(maxBytes);
});

When('the responses hold {string} bytes', function (this: BudgetWorld, held: string) {
	for (const entry of held.split(', ')) {
		const [holder, bytes] = entry.split(' ');
		this.largest = this.budget.set(holder, Number(bytes));
	}
});

Then('none is to be ended', function (this: BudgetWorld) {
	assert.equal(this.largest, undefined);
});

Then('{string} is to be ended', function (this: BudgetWorld, holder: string) {
	assert.equal(this.largest, holder);
});

When('random responses grow and end at random within a budget', function (this: BudgetWorld) {
	const change = fc.record({holder: fc.integer({min: 1, max: HOLDERS}), bytes: fc.integer({min: 0, max: MAX_BYTES / 2})});
	const budget = new ResponseBudget<string>(MAX_BYTES);
	const held = new Map<string, number>();
	this.mostBytes = 0;
	this.isTotalRight = true;
	const set = (holder: string, bytes: number): string | undefined => {
		held.set(holder, bytes);
		return budget.set(holder, bytes);
	};

	for (const {holder, bytes} of fc.sample(change, {numRuns: CHANGES, seed: SEED})) {
		const largest = set(String(holder), bytes);
		if (largest !== undefined) {
			set(largest, 0);
		}

		const totalBytes = [...held.values()].reduce((sum, value) => sum + value, 0);
		this.mostBytes = Math.max(this.mostBytes, totalBytes);
		this.isTotalRight &&= totalBytes === budget.totalBytes;
	}
});

Then('what all hold never exceeds the budget, and the total is that of what they hold', function (this: BudgetWorld) {
	assert.ok(this.mostBytes > MAX_BYTES / 2 && this.mostBytes <= MAX_BYTES, `${this.mostBytes} bytes`);
	assert.ok(this.isTotalRight);
});
