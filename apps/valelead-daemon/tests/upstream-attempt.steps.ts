import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {After, Then, When} from '@cucumber/cucumber';
import {EventSplitter} from '@valelead/answer';
import {RESULT_CODE} from '@valelead/common';
import {sendAttempt} from './send-attempt.js';
import {SilentUpstream} from './silent-upstream.js';
import {
	type GatewayRequest, ResponseForwarder, UpstreamAgent, getForwardedHeaders, newGatewayAdmission,
} from 'valelead-daemon';

type AttemptWorld = {
	end: string;
	/** Resolves with the way in which the connection ended on the upstream's side. */
	connectionEnd: Promise<string> | undefined;
	ends: string[];
	resets: number;
	servers: Server[] | undefined;
	bodies: string[];
	connections: number;
	passed: string[];
	lastEventId: string | undefined;
	headers: string[];
	request: GatewayRequest;
	pipe: ResponseForwarder;
	/** Forwards the events that are held back. */
	forward: (() => void) | undefined;
	admissions: Array<ReturnType<typeof newGatewayAdmission>>;
};

/** Time in which a response and its effects on the connection are complete, in milliseconds. */
const SETTLE_MS = 20;

const HEAD = 'HTTP/1.1 200 OK\r\nid: 1\r\n';

const ANSWERS: Readonly<Record<string, {readonly bytes: string; readonly end: 'keep' | 'close' | 'reset'}>> = {
	whole: {bytes: `${HEAD}content-length: 2\r\n\r\nok`, end: 'keep'},
	chunks: {bytes: `${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, end: 'keep'},
	'unframed, closed': {bytes: `${HEAD}\r\nok`, end: 'close'},
	'unframed, reset with its last bytes': {bytes: `${HEAD}\r\no`, end: 'reset'},
	'chunks, closed in the middle': {bytes: `${HEAD}transfer-encoding: chunked\r\n\r\n2\r\no`, end: 'close'},
	'length, closed in the middle': {bytes: `${HEAD}content-length: 2\r\n\r\no`, end: 'close'},
	'not http': {bytes: 'garbage\r\n\r\n', end: 'close'},
	'nothing, closed': {bytes: '', end: 'close'},
	'of another request': {bytes: 'HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 2\r\n\r\nok', end: 'keep'},
	'refused before running': {bytes: 'HTTP/1.1 503 Full\r\nid: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n', end: 'keep'},
	'a rejection of another request': {bytes: 'HTTP/1.1 503 Full\r\nid: 2\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n', end: 'keep'},
	'a late 421 of another request': {bytes: 'HTTP/1.1 421 Other\r\nid: 2\r\nother: x\r\ncontent-length: 0\r\n\r\n', end: 'keep'},
	'a rejection that names no request': {bytes: 'HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n', end: 'keep'},
	'status 000': {bytes: 'HTTP/1.1 000 OK\r\nid: 1\r\ncontent-length: 2\r\n\r\nok', end: 'keep'},
	'status 099': {bytes: 'HTTP/1.1 099 OK\r\nid: 1\r\ncontent-length: 2\r\n\r\nok', end: 'keep'},
	'status 600': {bytes: 'HTTP/1.1 600 OK\r\nid: 1\r\ncontent-length: 2\r\n\r\nok', end: 'keep'},
	'another upstream': {bytes: 'HTTP/1.1 421 Other\r\nid: 1\r\nother: x\r\ncontent-length: 0\r\n\r\n', end: 'keep'},
};

/** Returns a request for a stream that may be resumed, whose response data is appended to `passed`. */
const newStreamRequest = (passed: string[]): GatewayRequest => {
	const answer = {
		isStarted: false,
		start() {
			this.isStarted = true;
		},
		data(chunk: Buffer) {
			passed.push(chunk.toString());
		},
	};
	return {
		route: {kind: 'stream', isResumable: true}, answer, hasForwardedEvents: false, lastEventId: undefined,
	} as unknown as GatewayRequest;
};

const listen = async (world: AttemptWorld, onRequest: (socket: Socket) => void): Promise<number> => {
	const server = createServer(socket => {
		world.connections = (world.connections ?? 0) + 1;
		socket.on('error', () => undefined);
		socket.on('data', () => {
			onRequest(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	world.servers = [...(world.servers ?? []), server];
	return (server.address() as AddressInfo).port;
};

const send = async (port: number, agent: UpstreamAgent, requestId = '1'): Promise<{end: string; body: string}> => new Promise(resolve => {
	const attempt = sendAttempt(port, agent, resolve, {requestId});
	assert.equal(attempt.upstreamId, 'u');
});

After(function (this: AttemptWorld) {
	for (const server of this.servers ?? []) {
		server.close();
	}
});

When('an upstream answers with {string}', async function (this: AttemptWorld, name: string) {
	const {bytes, end} = ANSWERS[name];
	const port = await listen(this, socket => {
		socket.write(bytes);
		if (end === 'close') {
			socket.end();
		} else if (end === 'reset') {
			// The data and the reset reach the client in the same turn of its event loop.
			socket.resetAndDestroy();
		}
	});
	const agent = new UpstreamAgent(4);
	const {end: ended} = await send(port, agent);
	this.end = ended;
	agent.destroy();
});

When('an attempt is {} before its upstream answers', async function (this: AttemptWorld, ended: string) {
	const agent = new UpstreamAgent(4);
	const upstream = new SilentUpstream();
	const attempt = sendAttempt(await upstream.listen(), agent, () => undefined);
	this.connectionEnd = upstream.getConnectionEnd();
	await upstream.request;
	if (ended === 'cancelled') {
		attempt.cancel();
	} else {
		attempt.fail(RESULT_CODE.UpstreamSilent, 'no answer');
	}

	await this.connectionEnd;
	upstream.close();
	agent.destroy();
});

Then('the upstream sees its connection reset', async function (this: AttemptWorld) {
	assert.equal(await this.connectionEnd, 'reset');
});

When('nobody listens at the upstream\'s address', async function (this: AttemptWorld) {
	const port = await listen(this, () => undefined);
	const server = this.servers!.pop()!;
	server.close();
	await once(server, 'close');
	const {end} = await send(port, new UpstreamAgent(4));
	this.end = end;
});

Then('the sending ends as {string}', function (this: AttemptWorld, end: string) {
	assert.equal(this.end, end);
});

When('an upstream sends two answers to the first of two requests on one connection', async function (this: AttemptWorld) {
	let requests = 0;
	const newAnswer = (body: string): string => `HTTP/1.1 200 OK\r\nid: ${requests}\r\ncontent-length: 1\r\n\r\n${body}`;
	const port = await listen(this, socket => {
		requests += 1;
		socket.write(newAnswer(String(requests)));
		if (requests === 1) {
			setImmediate(() => {
				socket.write(newAnswer('x'));
			});
		}
	});
	const agent = new UpstreamAgent(4);
	const first = await send(port, agent);
	// The surplus answer has arrived once the connection that it came on is closed.
	while (Object.keys(agent.freeSockets).length > 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	const second = await send(port, agent, '2');
	this.bodies = [first.body, second.body];
	agent.destroy();
});

Then('the second request gets its own answer on a new connection', function (this: AttemptWorld) {
	assert.deepEqual(this.bodies, ['1', '2']);
	assert.equal(this.connections, 2);
});

When('an upstream answers {int} requests, one after the other', async function (this: AttemptWorld, requests: number) {
	this.ends = [];
	this.resets = 0;
	let answered = 0;
	const port = await listen(this, socket => {
		answered += 1;
		socket.write(ANSWERS.whole.bytes.replace('id: 1', `id: ${answered}`));
		socket.once('error', () => {
			this.resets += 1;
		});
	});
	const agent = new UpstreamAgent(4);
	for (let sent = 1; sent <= requests; sent += 1) {
		const {end} = await send(port, agent, String(sent));
		this.ends.push(end);
		await wait(SETTLE_MS);
	}

	agent.destroy();
});

Then('all answers were whole, and they came on {int} connection(s) that nobody reset', function (this: AttemptWorld, connections: number) {
	assert.ok(this.ends.every(end => end === 'whole'));
	assert.deepEqual([this.connections, this.resets], [connections, 0]);
});

const unescape = (text: string): string => text
	.replaceAll(String.raw`\n`, '\n')
	.replaceAll(String.raw`\r`, '\r')
	.replaceAll(String.raw`\uFEFF`, '\uFEFF');

When('the pieces {string} of a stream arrive', function (this: AttemptWorld, pieces: string) {
	const splitter = new EventSplitter();
	this.passed = [];
	for (const piece of unescape(pieces).split('|')) {
		const {bytes, lastEventId} = splitter.addChunk(Buffer.from(piece));
		this.lastEventId = lastEventId ?? this.lastEventId;
		if (bytes.length > 0) {
			this.passed.push(bytes.toString());
		}
	}
});

When('{string} of a stream is passed on and it goes on with {string}', function (this: AttemptWorld, first: string, second: string) {
	this.passed = [];
	const request = newStreamRequest(this.passed);
	for (const text of [first, second]) {
		const pipe = new ResponseForwarder(request, {statusCode: 200, headers: {}, rawHeaders: []}, forward => {
			forward();
		});
		for (const byte of Buffer.from(unescape(text))) {
			pipe.data(Buffer.from([byte]));
		}
	}
});

When('the events {string} of a stream arrive before its beginning is recorded', function (this: AttemptWorld, events: string) {
	this.passed = [];
	this.request = newStreamRequest(this.passed);
	this.pipe = new ResponseForwarder(this.request, {statusCode: 200, headers: {}, rawHeaders: []}, forward => {
		this.forward = forward;
	});
	for (const event of unescape(events).split('|')) {
		this.pipe.data(Buffer.from(event));
	}
});

When('its beginning is recorded and {string} arrives', function (this: AttemptWorld, event: string) {
	this.forward!();
	this.pipe.data(Buffer.from(unescape(event)));
});

Then('the caller gets {string}, no event has been forwarded and nothing is recorded', function (this: AttemptWorld, text: string) {
	assert.equal(this.passed.join(''), unescape(text));
	assert.equal(this.request.hasForwardedEvents, false);
	assert.equal(this.forward, undefined);
});

Then('the caller gets {string} and the last forwarded id is {string}', function (this: AttemptWorld, text: string, id: string) {
	assert.equal(this.passed.join(''), unescape(text));
	assert.equal(this.request.lastEventId ?? 'none', id);
});

Then('the caller gets {string}', function (this: AttemptWorld, text: string) {
	assert.equal(this.passed.join(''), unescape(text));
});

Then('the events passed on are {string} and the last id is {string}', function (this: AttemptWorld, events: string, id: string) {
	assert.equal(this.passed.join('|'), unescape(events));
	assert.equal(this.lastEventId, id);
});

When('the headers {string} are passed on', function (this: AttemptWorld, headers: string) {
	this.headers = getForwardedHeaders(headers.split('|').flatMap(header => header.split(': ')));
});

Then('these remain: {string}', function (this: AttemptWorld, headers: string) {
	assert.deepEqual(this.headers, headers.split('|').flatMap(header => header.split(': ')));
});

When('{int} gateways share a reserve of {int} retries and a ratio of {float}', function (this: AttemptWorld, count: number, reserve: number, ratio: number) {
	this.admissions = Array.from({length: count}, () => newGatewayAdmission({
		dataCentre: 'd', ratio, reserve, windowMs: 10_000, gatewayCount: count, countedSince: 0,
	}));
});

Then('together they start with less than {int} retries and earn less than {float} for a request', function (this: AttemptWorld, reserve: number, ratio: number) {
	assert.ok(this.admissions.reduce((sum, admission) => sum + (admission.initialRetryTokens ?? 0), 0) < reserve);
	assert.ok(this.admissions.every(admission => admission.retryTokensPerRequest < ratio));
});
