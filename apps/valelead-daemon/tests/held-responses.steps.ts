import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	type AddressInfo, type Socket, createServer,
} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {TimerService} from '@valelead/common';
import {pino} from 'pino';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {newSystemTimers} from './new-system-timers.js';
import {type EngineCodec, EngineClient, HeldResponses} from 'valelead-daemon';

type HeldResponse = Parameters<HeldResponses['set']>[0];

type HeldWorld = {
	time: VirtualTime;
	held: HeldResponses;
	ended: string[];
	call: {readonly isFailed: boolean; readonly ms: number; readonly isClosed: boolean};
};

const STEP_MS = 100;
const SLOW_READ_MS = 600;
const PIECE_BYTES = 65_536;
const BYTE_PERIOD_MS = 20;

/** Time after the end of a call in which its connection must be closed, in milliseconds. */
const CLOSE_MS = 500;

const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const MEMORY_MB = 250;

const CODEC = {
	newStatusCall: () => ({
		method: 'GET', path: '/', headers: {}, body: '',
	}),
} as unknown as EngineCodec;

type SlowResponse = HeldResponse & {sentBytes: number};

const newResponse = (world: HeldWorld, requestId: string): SlowResponse => ({
	requestId,
	sentBytes: 0,
	endHeld() {
		world.ended.push(requestId);
		world.held.set(this, 0);
	},
});

Given('a gateway that waits {int} ms for callers', function (this: HeldWorld, callerStallMs: number) {
	this.time = new VirtualTime();
	this.ended = [];
	this.held = new HeldResponses({
		memoryMb: MEMORY_MB, callerStallMs, timers: newVirtualTimers(this.time), logger: pino({level: 'silent'}), onEnded: () => undefined,
	});
});

When('one caller reads nothing and another reads a byte each 600 ms, for {int} ms', function (this: HeldWorld, ms: number) {
	const slow = newResponse(this, 'slow');
	this.held.set(newResponse(this, 'unread'), 1);
	this.held.set(slow, 1);
	for (let at = 0; at < ms; at += STEP_MS) {
		slow.sentBytes = Math.floor(at / SLOW_READ_MS);
		this.time.advance(STEP_MS);
	}
});

Then('only the first is disconnected', function (this: HeldWorld) {
	assert.deepEqual(this.ended, ['unread']);
});

When('a caller has read nothing for {int} ms and the gateway is suspended for {int} ms', function (this: HeldWorld, ms: number, suspendedMs: number) {
	// The timers of a suspended process run once, late, and then at their usual times.
	let now = 0;
	let wakeUp: (() => void) | undefined;
	const timers = new TimerService({now: () => now, wallNow: () => now}, {
		set(run) {
			wakeUp = run;
		},
		clear() {
			wakeUp = undefined;
		},
	});
	this.held = new HeldResponses({
		memoryMb: MEMORY_MB, callerStallMs: 1000, timers, logger: pino({level: 'silent'}), onEnded: () => undefined,
	});
	this.held.set(newResponse(this, 'unread'), 1);
	const advance = (toMs: number): void => {
		now = toMs;
		wakeUp?.();
	};

	for (let at = 0; at <= ms; at += STEP_MS) {
		advance(at);
	}

	advance(ms + suspendedMs);
	advance(ms + suspendedMs + STEP_MS);
});

Then('no caller is disconnected', function (this: HeldWorld) {
	assert.deepEqual(this.ended, []);
});

const sendWithoutEnd = (socket: Socket, data: string): void => {
	if (socket.destroyed) {
		return;
	}

	switch (data) {
		case 'single bytes': {
			socket.write('1\r\na\r\n');
			setTimeout(() => {
				sendWithoutEnd(socket, data);
			}, BYTE_PERIOD_MS);
			break;
		}

		case 'interim heads': {
			socket.write('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(100), () => {
				sendWithoutEnd(socket, data);
			});
			break;
		}

		default: {
			socket.write(`${PIECE_BYTES.toString(16)}\r\n${'a'.repeat(PIECE_BYTES)}\r\n`, () => {
				sendWithoutEnd(socket, data);
			});
		}
	}
};

When('an engine sends {string} without end in place of its status', {timeout: 20_000}, async function (this: HeldWorld, data: string) {
	let closed: Promise<unknown> | undefined;
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		// A reset is an error first, so that `once` would reject.
		closed = new Promise(resolve => {
			socket.on('close', resolve);
		});
		socket.once('data', () => {
			if (data !== 'interim heads') {
				socket.write(HEAD);
			}

			sendWithoutEnd(socket, data);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = new EngineClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, CODEC, newSystemTimers());
	const startedAt = performance.now();
	let isFailed = false;
	try {
		await client.getStatus();
	} catch {
		isFailed = true;
	}

	const ms = performance.now() - startedAt;
	const isClosed = await Promise.race([
		(async () => {
			await closed;
			return true;
		})(),
		new Promise<boolean>(resolve => {
			setTimeout(resolve, CLOSE_MS, false);
		}),
	]);
	this.call = {isFailed, ms, isClosed};
	client.close();
	server.close();
});

Then('the call fails within {int} ms, and its connection is closed', function (this: HeldWorld, ms: number) {
	assert.ok(this.call.isFailed && this.call.ms <= ms && this.call.isClosed, JSON.stringify(this.call));
});
