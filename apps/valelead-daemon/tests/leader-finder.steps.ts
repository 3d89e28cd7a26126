import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {TimerService} from '@valelead/common';
import {VirtualClock} from '@valelead/emulator';
import type {ChannelPool} from '@valelead/protocol';
import {LeaderFinder, newLogger} from 'valelead-daemon';

type Reply = {
	readonly leaderAddress: string;
	readonly voterAddresses: readonly string[];
};

/** How a controller replies to an identify call. */
type Behaviour = Reply | 'down' | 'silent';

/** The result of a search, and how long the search took. */
type SearchResult = {
	readonly leader: string;
	readonly tookMs: number;
};

type FinderWorld = {
	clock: VirtualClock;
	finder: LeaderFinder;
	behaviours: Map<string, Behaviour>;
	calls: number;
	last: string;
};

/** Executor of a promise that never settles. */
const ignore = (): void => undefined;

/** Maximum virtual time of a search, in milliseconds; much longer than any search should take. */
const LIMIT_MS = 5000;

const split = (text: string): string[] => text === '' ? [] : text.split(', ');

const replyTo = async (world: FinderWorld, address: string): Promise<Reply> => {
	world.calls += 1;
	const behaviour = world.behaviours.get(address) ?? 'down';
	if (behaviour === 'silent') {
		return new Promise(ignore);
	}

	if (behaviour === 'down') {
		throw new Error(`${address} is down`);
	}

	return behaviour;
};

/** Searches for the leader while virtual time advances. */
const find = async ({clock, finder}: FinderWorld): Promise<SearchResult> => {
	const startedAt = clock.now();
	const found: SearchResult[] = [];
	const search = async (): Promise<void> => {
		const leader = await finder.find();
		found.push({leader, tookMs: clock.now() - startedAt});
	};

	void search();
	for (let passedMs = 0; found.length === 0 && passedMs <= LIMIT_MS; passedMs += 1) {
		await clock.runUntil(startedAt + passedMs);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	assert.equal(found.length, 1, 'the search does not end');
	return found[0];
};

Given('a finder at {string} whose settings list {string}', function (this: FinderWorld, ownAddress: string, addresses: string) {
	this.clock = new VirtualClock();
	this.behaviours = new Map();
	this.calls = 0;
	const pool = {get: (address: string) => ({unary: async () => replyTo(this, address)}), reset: () => undefined};
	this.finder = new LeaderFinder({
		vm: 'vm',
		ownAddress,
		addresses: split(addresses),
		pool: pool as unknown as ChannelPool,
		clock: this.clock,
		timers: new TimerService(this.clock, this.clock),
		logger: newLogger('silent', {vm: 'vm', role: 'controller'}),
	});
});

When('{string} reports leader {string} and voters {string}', function (this: FinderWorld, address: string, leaderAddress: string, voters: string) {
	this.behaviours.set(address, {leaderAddress, voterAddresses: split(voters)});
});

When('{string} is down', function (this: FinderWorld, address: string) {
	this.behaviours.set(address, 'down');
});

When('{string} does not reply', function (this: FinderWorld, address: string) {
	this.behaviours.set(address, 'silent');
});

When('the settings list {string} from now on', function (this: FinderWorld, addresses: string) {
	this.finder.configure(split(addresses));
});

When('{int} controllers announce themselves, the last one as the leader', function (this: FinderWorld, count: number) {
	const addresses = Array.from({length: count}, (_value, index) => `n${index}`);
	for (const address of addresses) {
		this.finder.addAddresses([address]);
	}

	this.last = addresses.at(-1)!;
	this.behaviours.set(this.last, {leaderAddress: this.last, voterAddresses: []});
});

Then('{string} is found', async function (this: FinderWorld, leader: string) {
	const found = await find(this);
	assert.equal(found.leader, leader);
});

Then('{string} is found within {int} ms', async function (this: FinderWorld, leader: string, limitMs: number) {
	const found = await find(this);
	assert.equal(found.leader, leader);
	assert.ok(found.tookMs <= limitMs, `${found.tookMs} ms`);
});

Then('{string} is found {int} ms later', async function (this: FinderWorld, leader: string, delayMs: number) {
	await this.clock.runUntil(this.clock.now() + delayMs);
	const found = await find(this);
	assert.equal(found.leader, leader);
});

Then('{string} is found for {int} callers at once, by {int} calls', async function (this: FinderWorld, leader: string, callers: number, calls: number) {
	const leaders = await Promise.all(Array.from({length: callers}, async () => this.finder.find()));
	assert.deepEqual(new Set(leaders), new Set([leader]));
	assert.equal(this.calls, calls);
});

Then('the last of them is found', async function (this: FinderWorld) {
	const found = await find(this);
	assert.equal(found.leader, this.last);
});

Then('it knows {string}', function (this: FinderWorld, addresses: string) {
	assert.deepEqual(this.finder.addresses.toSorted(), split(addresses));
});

Then('it knows {int} controllers', function (this: FinderWorld, count: number) {
	assert.equal(this.finder.addresses.length, count);
});
