import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type Server, createServer} from 'node:http';
import {type AddressInfo, type Socket, connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {SYSTEM_CLOCK} from '@valelead/common';
import {newSystemTimers} from './new-system-timers.js';
import {CallerConnections, CallerErrors, trackConnections} from 'valelead-daemon';

type ErrorsWorld = {
	errorsServer: Server | undefined;
	received: string;
};

/** From the request to the bytes that follow it, in milliseconds. */
const GAP_MS = 50;

/** The longest time for answers after the server goes on, in milliseconds. */
const LIMIT_MS = 2000;

const POLL_MS = 20;

const REQUEST = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx';
const UNREADABLE_BODY = 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nno length\r\n';

After(function (this: ErrorsWorld) {
	this.errorsServer?.closeAllConnections();
	this.errorsServer?.close();
});

Given('a server that answers requests after {int} ms and gives heads {int} ms', async function (this: ErrorsWorld, answerMs: number, headMs: number) {
	const connections = new CallerConnections({clock: SYSTEM_CLOCK, timers: newSystemTimers()});
	const errors = new CallerErrors(connections, () => server.keepAliveTimeout);
	const server = createServer({requestTimeout: 0, headersTimeout: headMs, connectionsCheckingInterval: headMs / 2}, (message, response) => {
		void connections.addResponse(response);
		message.resume();
		message.once('end', () => {
			setTimeout(() => {
				response.end('own');
			}, answerMs);
		});
	});
	server.on('connection', socket => {
		connections.add(socket);
	});
	server.on('clientError', (error, socket) => {
		errors.handle(error, socket as Socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	this.errorsServer = server;
});

const getStatuses = ({received}: ErrorsWorld): string[] => [...received.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(match => match.groups!.status);

/** Sends parts one after the other on a connection of its own; resolves with everything received, once the connection is closed. */
const send = async ({errorsServer}: ErrorsWorld, parts: readonly string[]): Promise<string> => {
	const socket = connect((errorsServer!.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	socket.on('data', (chunk: Uint8Array) => {
		text += String(chunk);
	});
	for (const [index, part] of parts.entries()) {
		setTimeout(() => {
			socket.write(part);
		}, index * GAP_MS);
	}

	await once(socket, 'close');
	return text;
};

When('a caller sends a request, and then {string}', async function (this: ErrorsWorld, bytes: string) {
	this.received = await send(this, [REQUEST, bytes]);
});

When('a caller sends only {string}', async function (this: ErrorsWorld, bytes: string) {
	this.received = await send(this, [bytes]);
});

When('a caller sends a request whose chunked body cannot be read', async function (this: ErrorsWorld) {
	this.received = await send(this, [UNREADABLE_BODY]);
});

When('a caller sends {int} bytes, and the rest of {int} requests before the server stands still for {int} ms', async function (this: ErrorsWorld, sent: number, count: number, ms: number) {
	const socket = connect((this.errorsServer!.address() as AddressInfo).port, '127.0.0.1');
	this.received = '';
	socket.on('data', (chunk: Uint8Array) => {
		this.received += String(chunk);
	});
	await once(socket, 'connect');
	socket.write(REQUEST.slice(0, sent));
	await wait(GAP_MS);
	// The operating system takes what is written now, and the server reads nothing before it goes on.
	socket.write(REQUEST.repeat(count).slice(sent));
	Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms);
	const endsAt = performance.now() + LIMIT_MS;
	while (getStatuses(this).length < Math.max(1, count) && performance.now() < endsAt) {
		await wait(POLL_MS);
	}

	socket.destroy();
});

Then('it gets {int} answers with status {int}', function (this: ErrorsWorld, count: number, status: number) {
	assert.deepEqual(getStatuses(this), Array.from({length: count}, () => String(status)), this.received);
});

Then('it gets the answer {int}, nothing else, and a closed connection', function (this: ErrorsWorld, status: number) {
	assert.deepEqual(this.received.match(/HTTP\/1\.1 \d+/gv), [`HTTP/1.1 ${status}`], this.received);
	assert.equal(this.received.endsWith('own'), status === 200, this.received);
});

Given('a server that sends {int} bytes and closes the connection', async function (this: ErrorsWorld, bytes: number) {
	const connections = new CallerConnections({clock: SYSTEM_CLOCK, timers: newSystemTimers()});
	const server = createServer((message, response) => {
		void connections.addResponse(response);
		message.resume();
		response.writeHead(200, {'content-length': bytes});
		response.write('x'.repeat(bytes));
		setTimeout(() => {
			connections.close(message.socket);
		}, GAP_MS);
	});
	trackConnections(server, connections);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	this.errorsServer = server;
});

When('a caller asks, begins a further request, ends its side after {int} ms and reads {int} ms later', async function (this: ErrorsWorld, endMs: number, readMs: number) {
	const socket = connect({port: (this.errorsServer!.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true});
	this.received = '';
	socket.on('error', () => undefined);
	socket.write(`${REQUEST}POST /w`);
	await wait(endMs);
	socket.end();
	await wait(readMs);
	socket.on('data', (chunk: Uint8Array) => {
		this.received += String(chunk);
	});
	await once(socket, 'close');
});

Then('it gets all {int} bytes', function (this: ErrorsWorld, bytes: number) {
	assert.equal(this.received.split('\r\n\r\n')[1]?.length, bytes);
});
