import assert from 'node:assert/strict';
import {Socket} from 'node:net';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {SYSTEM_CLOCK} from '@valelead/common';
import {newSystemTimers} from './new-system-timers.js';
import {CallerConnections} from 'valelead-daemon';

type WaitingWorld = {
	waitingConnections: CallerConnections;
	acceptedCount: number | undefined;
	isConnecting: boolean;
};

/** More connections than a listening socket's queue holds; the test ends with them. */
const MAX_CONNECTIONS = 5000;

After(function (this: WaitingWorld) {
	this.isConnecting = false;
});

Given('a server to which callers connect in each iteration of the event loop', function (this: WaitingWorld) {
	const connections = new CallerConnections({clock: SYSTEM_CLOCK, timers: newSystemTimers()});
	const accept = (): void => {
		if (this.isConnecting && connections.size < MAX_CONNECTIONS) {
			connections.add(new Socket());
			setImmediate(accept);
		}
	};

	this.waitingConnections = connections;
	this.isConnecting = true;
	setImmediate(accept);
});

const acceptWaiting = async (world: WaitingWorld, endsAt: number): Promise<void> => {
	await world.waitingConnections.acceptWaiting(() => endsAt);
	world.acceptedCount = world.waitingConnections.size;
};

When('it accepts the connections that wait', async function (this: WaitingWorld) {
	await acceptWaiting(this, Number.POSITIVE_INFINITY);
});

When('it accepts the connections that wait, for {int} ms', async function (this: WaitingWorld, ms: number) {
	await acceptWaiting(this, SYSTEM_CLOCK.now() + ms);
});

Then('it has accepted {int} connections', function (this: WaitingWorld, count: number) {
	assert.ok(Math.abs(this.acceptedCount! - count) <= 1, `${this.acceptedCount} connections`);
});
