import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type RequestListener, type Server, createServer} from 'node:http';
import {type AddressInfo, type Socket, connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {SYSTEM_CLOCK} from '@valelead/common';
import {newSystemTimers} from './new-system-timers.js';
import {CallerConnections} from 'valelead-daemon';

type LingeringWorld = {
	lingeringServer: Server | undefined;
	lingeringCallers: Socket[];
	connections: CallerConnections;
};

/** Well below the time for which the input of a closing connection is discarded. */
const LIMIT_MS = 3000;

const POLL_MS = 20;

/** From the request to its answer, in milliseconds: a part of the body has arrived. */
const ANSWER_MS = 200;

/** Connections that are opened at once: fewer than the listening socket's queue holds. */
const OPENED_AT_ONCE = 100;

const waitUntil = async (isDone: () => boolean): Promise<void> => {
	const endsAt = performance.now() + LIMIT_MS;
	while (!isDone() && performance.now() < endsAt) {
		await wait(POLL_MS);
	}
};

const startServer = async (world: LingeringWorld, listener: RequestListener): Promise<void> => {
	const connections = new CallerConnections({clock: SYSTEM_CLOCK, timers: newSystemTimers()});
	const server = createServer((message, response) => {
		void connections.addResponse(response);
		listener(message, response);
	});
	server.on('connection', socket => {
		connections.add(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	world.lingeringServer = server;
	world.lingeringCallers = [];
	world.connections = connections;
};

const newCaller = ({lingeringServer, lingeringCallers}: LingeringWorld, allowHalfOpen: boolean): Socket => {
	const caller = connect({host: '127.0.0.1', port: (lingeringServer!.address() as AddressInfo).port, allowHalfOpen});
	// The server may reset the connection.
	caller.on('error', () => undefined);
	lingeringCallers.push(caller);
	return caller;
};

After(function (this: LingeringWorld) {
	for (const caller of this.lingeringCallers ?? []) {
		caller.destroy();
	}

	this.lingeringServer?.closeAllConnections();
	this.lingeringServer?.close();
});

Given('a server with {int} idle connections whose callers never close', async function (this: LingeringWorld, count: number) {
	await startServer(this, (_message, response) => {
		response.end('own');
	});
	while (this.lingeringCallers.length < count) {
		const callers = Array.from({length: Math.min(OPENED_AT_ONCE, count - this.lingeringCallers.length)}, () => newCaller(this, true));
		await Promise.all(callers.map(async caller => {
			caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
			await once(caller, 'data');
			caller.resume();
		}));
	}

	await waitUntil(() => this.connections.unfinishedCount === 0);
});

Given('a server that answers without reading bodies and closes its connections', async function (this: LingeringWorld) {
	await startServer(this, (_message, response) => {
		setTimeout(() => {
			response.setHeader('connection', 'close');
			response.end('own');
		}, ANSWER_MS);
	});
});

When('the server closes its idle connections', function (this: LingeringWorld) {
	this.connections.closeIdle(LIMIT_MS);
});

When('a caller sends a body of {int} bytes and closes after its answer', async function (this: LingeringWorld, bytes: number) {
	const caller = newCaller(this, false);
	caller.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${bytes}\r\n\r\n`);
	caller.end('x'.repeat(bytes));
	await once(caller, 'data');
});

Then('{int} connections are open', async function (this: LingeringWorld, count: number) {
	await waitUntil(() => this.connections.size === count);
	assert.equal(this.connections.size, count);
});
