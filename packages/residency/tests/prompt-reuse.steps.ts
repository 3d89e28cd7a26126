import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type PromptPart, getPreferredEngine, getReuseKey, getReuseValue,
} from '@valelead/residency';

type ReuseWorld = {
	loads: Map<string, number>;
	/** The chosen engine of each key. */
	chosen: Map<string, string>;
	/** The highest excess of an engine over its share, in requests. */
	excess: number;
};

const VALUE = 8;
const MAX_LOAD_RATIO = 1.25;
const TARGET = 's/m';
const KEY = 'key';

const getKeys = (count: number): string[] => Array.from({length: count}, (_, index) => `s/m segment${index}`);

const choose = (loads: ReadonlyMap<string, number>, keys: readonly string[]): Map<string, string> => new Map(keys.map(key => [key, getPreferredEngine(key, loads, VALUE)!]));

const getParts = (parts: string): PromptPart[] => parts.split(', ').map(part => {
	const [id, tokens] = part.split(':');
	return {id, tokens: Number(tokens)};
});

Given('{int} engines without load', function (this: ReuseWorld, count: number) {
	this.loads = new Map(Array.from({length: count}, (_, index) => [`10.0.0.${index}:80/${index}`, 0]));
});

When('{int} keys choose', function (this: ReuseWorld, count: number) {
	this.chosen = choose(this.loads, getKeys(count));
});

Then('each engine was chosen by {int} to {int} keys', function (this: ReuseWorld, least: number, most: number) {
	for (const engine of this.loads.keys()) {
		const count = [...this.chosen.values()].filter(id => id === engine).length;
		assert.ok(count >= least && count <= most, `${engine} was chosen ${count} times`);
	}
});

Then('{int} keys choose the same engines if the engines are listed in another order', function (this: ReuseWorld, count: number) {
	const keys = getKeys(count);
	assert.deepEqual(choose(new Map([...this.loads].reverse()), keys), choose(this.loads, keys));
});

Then('{int} keys choose the same engines after one has left, except for those that chose it', function (this: ReuseWorld, count: number) {
	const [left] = this.loads.keys();
	const before = choose(this.loads, getKeys(count));
	this.loads.delete(left);
	for (const [key, engine] of choose(this.loads, getKeys(count))) {
		assert.ok(engine === before.get(key) || before.get(key) === left, key);
	}
});

When('{int} requests with one key arrive and stay', function (this: ReuseWorld, count: number) {
	this.excess = 0;
	for (let index = 0; index < count; index += 1) {
		const engine = getPreferredEngine(KEY, this.loads, VALUE)!;
		const mean = index / this.loads.size;
		this.excess = Math.max(this.excess, this.loads.get(engine)! - (mean * MAX_LOAD_RATIO));
		this.loads.set(engine, this.loads.get(engine)! + 1);
	}
});

Then('no engine ever had more than 1.25 times the mean and one request more', function (this: ReuseWorld) {
	assert.ok(this.excess <= 1, `${this.excess}`);
});

When('the chosen engine of a key has {int} requests and all others but one have as many', function (this: ReuseWorld, load: number) {
	const chosen = getPreferredEngine(KEY, this.loads, VALUE)!;
	const idle = [...this.loads.keys()].find(id => id !== chosen)!;
	this.loads = new Map([...this.loads.keys()].map(id => [id, id === idle ? 0 : load]));
	this.chosen = new Map([[KEY, idle]]);
});

Then('the key chooses the remaining engine', function (this: ReuseWorld) {
	assert.equal(getPreferredEngine(KEY, this.loads, VALUE), this.chosen.get(KEY));
});

Then('shared parts of {} tokens are worth {float} requests in a memory of {int} tokens', (tokens: string, value: number, memory: number) => {
	assert.equal(getReuseValue(tokens.split(', ').map((part, index) => ({id: String(index), tokens: Number(part)})), memory), value);
});

Then('prompts with shared parts {string} and {string} have the same key', (left: string, right: string) => {
	assert.equal(getReuseKey(TARGET, getParts(left)), getReuseKey(TARGET, getParts(right)));
});

Then('prompts with shared parts {string} and {string} have different keys', (left: string, right: string) => {
	assert.notEqual(getReuseKey(TARGET, getParts(left)), getReuseKey(TARGET, getParts(right)));
});

Then('prompts for different models have different keys', () => {
	assert.notEqual(getReuseKey(TARGET, getParts('a:6000')), getReuseKey('s/n', getParts('a:6000')));
});
