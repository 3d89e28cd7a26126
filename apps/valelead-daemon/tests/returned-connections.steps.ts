import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type Socket, connect} from 'node:net';
import process from 'node:process';
import {setImmediate as nextIteration, setTimeout as wait} from 'node:timers/promises';
import {After, Then, When} from '@cucumber/cucumber';
import {RESULT_CODE, resetConnection} from '@valelead/common';
import {newRandom} from '../../../tests/support/new-random.js';
import {AnsweringUpstream, type UpstreamReply} from './answering-upstream.js';
import {sendAttempt} from './send-attempt.js';
import {UpstreamAgent, UpstreamPool} from 'valelead-daemon';

type Place = {
	readonly agent: UpstreamAgent;
	readonly upstream: AnsweringUpstream;
	readonly port: number;
};

type ConnectionsWorld = {
	places: Place[] | undefined;
	connection: Socket;
	ends: string[];
	/** Descriptions of the histories after which something is taken or not served. */
	faulty: string[];
};

const SEED = Number(process.env.RETURNED_CONNECTIONS_SEED ?? '1');

/** Distance between the seeds of two runs, more than a run has histories. */
const SEED_STEP = 100_000;

/** Histories in a run by hand; the number that the scenario names if absent. */
const HISTORIES = process.env.RETURNED_CONNECTIONS_HISTORIES;

const CONNECTIONS = 4;

/** Time in which all connections come back: the rest of a response is awaited for 1 s. In milliseconds. */
const REST_LIMIT_MS = 5000;
const POLL_MS = 20;

/** Time in which a connection that is closed is seen to be closed at the other side, in milliseconds. */
const CLOSE_LIMIT_MS = 2000;

/** A request that gets a connection at once is served well within this time, in milliseconds. */
const SERVED_LIMIT_MS = 2000;

/** After this time an attempt of the examples is failed, as one is that times out, in milliseconds. */
const ATTEMPT_LIMIT_MS = 300;

/** The longest time after which a random attempt is ended, in milliseconds. */
const MAX_ACTION_MS = 30;

/** A body that fills the buffers of a connection whose other side does not read, in bytes. */
const LARGE_BODY_BYTES = 8_388_608;

const HEAD = 'HTTP/1.1 200 OK\r\nid: 1\r\n';
const CLOSE = 'connection: close\r\n';
const LENGTH = 'content-length: 2\r\n';
const STREAM = `${HEAD}content-type: text/event-stream\r\n`;

const SOUND: UpstreamReply = {bytes: `${HEAD}${LENGTH}\r\nok`, end: 'keep'};

const REPLIES: Readonly<Record<string, UpstreamReply>> = {
	'is whole': SOUND,
	'announces that the connection closes': {bytes: `${HEAD}${CLOSE}${LENGTH}\r\nok`, end: 'keep'},
	'announces the close, after which it closes': {bytes: `${HEAD}${CLOSE}${LENGTH}\r\nok`, end: 'close'},
	'has no body and announces the close': {bytes: `HTTP/1.1 204 No Content\r\nid: 1\r\n${CLOSE}\r\n`, end: 'keep'},
	'has no length and announces the close': {bytes: `${STREAM}${CLOSE}\r\n`, end: 'keep'},
	'is a rejection that announces the close': {bytes: `HTTP/1.1 503 Full\r\nid: 1\r\nnot-run: 1\r\n${CLOSE}${LENGTH}\r\nno`, end: 'keep'},
	'is of another request and announces the close': {bytes: `HTTP/1.1 200 OK\r\nid: 2\r\n${CLOSE}${LENGTH}\r\nok`, end: 'keep'},
	'has a status of no response, with the close': {bytes: `HTTP/1.1 000 OK\r\nid: 1\r\n${CLOSE}${LENGTH}\r\nok`, end: 'keep'},
	'ends inside an event and announces the close': {bytes: `${STREAM}${CLOSE}content-length: 10\r\n\r\nid: 1\ndata`, end: 'keep'},
	'arrives before the body is read': {bytes: `${HEAD}${LENGTH}\r\nok`, end: 'stop reading'},
	'arrives before the body is read, with the close': {bytes: `${HEAD}${CLOSE}${LENGTH}\r\nok`, end: 'stop reading'},
	'follows 20 interim responses': {bytes: `${'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(20)}${HEAD}${LENGTH}\r\nok`, end: 'keep'},
	'switches protocols': {bytes: 'HTTP/1.1 101 Switching Protocols\r\nid: 1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n', end: 'keep'},
	'is not HTTP': {bytes: 'garbage\r\n\r\n', end: 'keep'},
};

/** Replies of the random histories beside those above. */
const FURTHER_REPLIES: readonly UpstreamReply[] = [
	{bytes: '', end: 'keep'},
	{bytes: '', end: 'close'},
	{bytes: '', end: 'reset'},
	{bytes: '', end: 'stop reading'},
	{bytes: HEAD, end: 'keep'},
	{bytes: `${HEAD}content-length: 9\r\n\r\nok`, end: 'keep'},
	{bytes: `${HEAD}content-length: 9\r\n\r\nok`, end: 'close'},
	{bytes: `${HEAD}\r\nok`, end: 'close'},
	{bytes: `${HEAD}\r\nok`, end: 'reset'},
	{bytes: `${HEAD}${CLOSE}${LENGTH}\r\nok`, end: 'close'},
	{bytes: `${HEAD}${LENGTH}\r\nok${HEAD}${LENGTH}\r\nok`, end: 'keep'},
	{bytes: `${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, end: 'keep'},
	{bytes: `${HEAD}${CLOSE}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, end: 'keep'},
	{bytes: `HTTP/1.1 304 Not Modified\r\nid: 1\r\n${CLOSE}\r\n`, end: 'keep'},
	{bytes: 'HTTP/1.1 503 Full\r\nid: 1\r\nnot-run: 1\r\ncontent-length: 9\r\n\r\nno', end: 'keep'},
	{bytes: 'HTTP/1.1 503 Full\r\nid: 1\r\nnot-run: 1\r\ncontent-length: 99999\r\n\r\nno', end: 'keep'},
	{bytes: `HTTP/1.0 200 OK\r\nid: 1\r\n${LENGTH}\r\nok`, end: 'keep'},
	{bytes: `${HEAD}keep-alive: timeout=1\r\n${LENGTH}\r\nok`, end: 'keep'},
	{bytes: `${HEAD}content-length: 200000\r\n\r\n${'x'.repeat(200_000)}`, end: 'keep'},
];

const ALL_REPLIES = [...Object.values(REPLIES), ...FURTHER_REPLIES];
const METHODS = ['GET', 'HEAD', 'POST', 'OPTIONS', 'DELETE'];
const BODIES = [0, 0, 1, 1, 100_000, LARGE_BODY_BYTES].map(bytes => Buffer.alloc(bytes));
const NO_BODY = BODIES[0];
const ACTIONS = ['cancel', 'fail', 'pause', 'cancel', 'fail', 'none'];

let requestCount = 0;

/** Returns an id that no other request has, as requests with the same id are sent on different connections. */
const newRequestId = (): string => {
	requestCount += 1;
	return `r${requestCount}`;
};

/** The sockets that are in use and the requests that wait for one. */
const getTaken = ({agent}: Place): {sockets: number; waiting: number} => ({
	sockets: Object.values(agent.sockets).flat().length, waiting: Object.values(agent.requests).flat().length,
});

const newPlace = async (world: ConnectionsWorld, getReply: () => UpstreamReply): Promise<Place> => {
	const upstream = new AnsweringUpstream(getReply);
	const place = {agent: new UpstreamAgent(CONNECTIONS), upstream, port: await upstream.listen()};
	world.places = [...(world.places ?? []), place];
	return place;
};

/** Sends a request whose attempt is failed after a while, and resolves with its end. */
const send = async ({port, agent}: Place, method: string, body: Buffer, limitMs: number): Promise<string> => new Promise(resolve => {
	const attempt = sendAttempt(port, agent, ({end}) => {
		clearTimeout(timer);
		resolve(end);
	}, {requestId: newRequestId(), method, body});
	const timer = setTimeout(() => {
		attempt.fail(RESULT_CODE.UpstreamSilent, 'no answer');
	}, limitMs);
});

/** Returns what is still taken once nothing changes any more, or undefined if nothing is. */
const getTakenAtRest = async (place: Place): Promise<string | undefined> => {
	const endsAt = performance.now() + REST_LIMIT_MS;
	while (performance.now() < endsAt) {
		const {sockets, waiting} = getTaken(place);
		if (sockets + waiting === 0) {
			return undefined;
		}

		await wait(POLL_MS);
	}

	return JSON.stringify(getTaken(place));
};

/** Sends as many requests at once as there are connections, and returns how they end. */
const getServed = async (place: Place): Promise<string[]> => {
	place.upstream.setReply(() => SOUND);
	// Lets the agent read that connections were closed. After a stall the timer fires before the sockets are read.
	await wait(POLL_MS);
	await nextIteration();
	await nextIteration();
	return Promise.all(Array.from({length: CONNECTIONS}, async () => send(place, 'GET', NO_BODY, SERVED_LIMIT_MS)));
};

/** Sends one random request, which is ended in a random way after a random time. */
const playAttempt = async ({port, agent}: Place, random: () => number): Promise<void> => {
	const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)];
	const method = pick(METHODS);
	const attempt = sendAttempt(port, agent, () => undefined, {
		requestId: newRequestId(), method, body: method === 'POST' ? pick(BODIES) : NO_BODY, isHeadTaken: random() < 0.8,
	});
	const action = pick(ACTIONS);
	const actionMs = random() * MAX_ACTION_MS;
	if (action === 'pause') {
		attempt.pause();
	}

	// Some attempts are ended in the turn of the event loop in which they were started.
	if (actionMs > 1) {
		await wait(actionMs);
	}

	if (action === 'pause') {
		attempt.pause();
		await wait(actionMs);
	}

	if (action === 'fail') {
		attempt.fail(RESULT_CODE.UpstreamSilent, 'no answer');
	} else if (action === 'none') {
		// An attempt that nobody ends in between ends at its deadline.
		await wait(ATTEMPT_LIMIT_MS);
	}

	attempt.cancel();
};

/** Plays one random history, and returns what is wrong after it, or undefined. */
const playHistory = async (world: ConnectionsWorld, seed: number, requests: number): Promise<string | undefined> => {
	const random = newRandom(seed);
	const place = await newPlace(world, () => ALL_REPLIES[Math.floor(random() * ALL_REPLIES.length)]);
	const attempts: Array<Promise<void>> = [];
	for (let sent = 0; sent < requests; sent += 1) {
		attempts.push(playAttempt(place, random));
		await wait(random() < 0.5 ? 0 : random() * MAX_ACTION_MS);
	}

	await Promise.all(attempts);
	const taken = await getTakenAtRest(place);
	const ends = await getServed(place);
	place.upstream.close();
	place.agent.destroy();
	return taken === undefined && ends.every(end => end === 'whole') ? undefined : `seed ${seed}: ${taken ?? 'nothing taken'}, ${ends.join(' ')}`;
};

When('an upstream leaves the directory while {int} of its {int} connections are in use', async function (this: ConnectionsWorld, used: number, connections: number) {
	const pool = new UpstreamPool();
	const agent = pool.get('u', connections);
	const place = {...await newPlace(this, () => SOUND), agent};
	this.places!.push(place);
	await Promise.all(Array.from({length: connections}, async () => send(place, 'GET', NO_BODY, SERVED_LIMIT_MS)));
	await wait(POLL_MS);
	assert.equal(Object.values(agent.freeSockets).flat().length, connections);
	const requests = Array.from({length: used}, async () => send(place, 'GET', NO_BODY, SERVED_LIMIT_MS));
	pool.retain(new Set());
	this.ends = await Promise.all(requests);
});

Then('it serves the {int} requests, and all {int} connections are closed', async function (this: ConnectionsWorld, requests: number, connections: number) {
	assert.deepEqual(this.ends, Array.from({length: requests}, () => 'whole'));
	const {upstream} = this.places!.at(-1)!;
	const endsAt = performance.now() + CLOSE_LIMIT_MS;
	while (upstream.connectionCount > 0 && performance.now() < endsAt) {
		await wait(POLL_MS);
	}

	assert.equal(upstream.connectionCount, 0, `of ${connections}`);
});

When('a connection to an upstream is reset while it is being shut down', async function (this: ConnectionsWorld) {
	const {port} = await newPlace(this, () => ({bytes: '', end: 'keep'}));
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	this.connection = socket;
	socket.on('error', () => undefined);
	socket.end();
	resetConnection(socket);
});

Then('the connection reports its close within {int} ms', async function (this: ConnectionsWorld, ms: number) {
	await once(this.connection, 'close', {signal: AbortSignal.timeout(ms)});
});

After(function (this: ConnectionsWorld) {
	for (const {agent, upstream} of this.places ?? []) {
		agent.destroy();
		upstream.close();
	}
});

When(/^an upstream sends a response that (.+) to each of (\d+) ([A-Z]+) requests$/, {timeout: 20_000}, async function (
	this: ConnectionsWorld,
	response: string,
	requests: string,
	method: string,
) {
	const place = await newPlace(this, () => REPLIES[response]);
	const body = REPLIES[response].end === 'stop reading' ? BODIES.at(-1)! : NO_BODY;
	for (let sent = 0; sent < Number(requests); sent += 1) {
		await send(place, method, body, ATTEMPT_LIMIT_MS);
	}
});

Then('no connection to it is taken and no request waits for one', {timeout: 10_000}, async function (this: ConnectionsWorld) {
	assert.equal(await getTakenAtRest(this.places![0]), undefined);
});

Then('{int} requests at once are served', async function (this: ConnectionsWorld, requests: number) {
	assert.deepEqual(await getServed(this.places![0]), Array.from({length: requests}, () => 'whole'));
});

When('{int} random histories of {int} requests are played, each with an upstream of {int} connections', {timeout: 600_000}, async function (
	this: ConnectionsWorld,
	histories: number,
	requests: number,
	connections: number,
) {
	assert.equal(connections, CONNECTIONS);
	const count = Number(HISTORIES ?? histories);
	const faults = await Promise.all(Array.from({length: count}, async (_, index) => playHistory(this, (SEED * SEED_STEP) + index, requests)));
	this.faulty = faults.filter(fault => fault !== undefined);
});

Then('after each of them no connection is taken, no request waits for one, and 4 requests at once are served', function (this: ConnectionsWorld) {
	assert.deepEqual(this.faulty, []);
});
