import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {TimerService, ValeleadError} from '@valelead/common';
import {VirtualClock} from '@valelead/emulator';
import {type ChannelPool, Control, LeaderClient} from '@valelead/protocol';

/** Executor of a promise that never settles. */
const ignore = (): void => undefined;

type CallsWorld = {
	clock: VirtualClock;
	calls: LeaderClient;
	endedAt: number | undefined;
	realNow: (() => number) | undefined;
};

const LIMIT_MS = 20_000;

Given('a voter that does not reply', function (this: CallsWorld) {
	this.clock = new VirtualClock();
	const silent = {unary: async () => new Promise(ignore)};
	const pool = {get: () => silent, reset: () => undefined};
	this.calls = new LeaderClient(pool as unknown as ChannelPool, ['a', 'b'], new TimerService(this.clock, this.clock), this.clock);
});

When('a call with {int} ms is made and the wall clock steps by {int} ms', async function (this: CallsWorld, timeoutMs: number, stepMs: number) {
	const realNow = Date.now;
	this.realNow = realNow;
	const call = async (): Promise<void> => {
		try {
			await this.calls.call(Control.method.execute, {} as never, timeoutMs);
		} catch (error) {
			assert.ok(error instanceof ValeleadError);
			this.endedAt = this.clock.now();
		}
	};

	void call();
	Date.now = () => realNow() + stepMs;
	await this.clock.runUntil(LIMIT_MS);
});

After(function (this: CallsWorld) {
	Date.now = this.realNow ?? Date.now;
});

Then('the call ends between {int} ms and {int} ms', function (this: CallsWorld, least: number, most: number) {
	assert.ok(this.endedAt !== undefined && this.endedAt >= least && this.endedAt <= most, String(this.endedAt));
});

const split = (text: string): string[] => text.split(', ');

Given('calls to the leader with {string} in the settings', function (this: CallsWorld, addresses: string) {
	this.clock = new VirtualClock();
	this.calls = new LeaderClient({} as unknown as ChannelPool, split(addresses), new TimerService(this.clock, this.clock), this.clock);
});

When('they receive the voters {string}', function (this: CallsWorld, addresses: string) {
	this.calls.updateVoterAddresses(split(addresses));
});

Then('the voters are tried in this order: {string}', function (this: CallsWorld, addresses: string) {
	const [first, ...others] = split(addresses);
	// Advances to the first address of the expected order, whatever the present position in the list is.
	for (let tried = 0; this.calls.address !== first && tried < others.length; tried += 1) {
		this.calls.redirect('');
	}

	const order = [this.calls.address];
	while (order.length <= others.length) {
		this.calls.redirect('');
		order.push(this.calls.address);
	}

	assert.deepEqual(order, [first, ...others]);
});
