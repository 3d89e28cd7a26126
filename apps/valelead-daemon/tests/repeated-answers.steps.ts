import assert from 'node:assert/strict';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {newRandom} from '../../../tests/support/new-random.js';
import {sendAttempt} from './send-attempt.js';
import {TwofoldUpstream} from './twofold-upstream.js';
import {UpstreamAgent} from 'valelead-daemon';

type Result = Awaited<ReturnType<typeof send>>;

type PlayedAttempt = {
	readonly attempt: string;
	readonly result: Result;
};

type RepeatedWorld = {
	twofold: TwofoldUpstream | undefined;
	/** Rejections that the upstream still sends to the request with id `1`. */
	rejections: number;
	result: Result;
	/** Descriptions of the attempts that ended in a way that is not allowed. */
	faulty: string[];
};

const SEED = Number(process.env.REPEATED_ANSWERS_SEED ?? '1');
const CONNECTIONS = 3;
const REJECTED_SHARE = 0.4;
const REPEATED_SHARE = 0.3;

/** The longest pause before a random request, in milliseconds. */
const MAX_PAUSE_MS = 4;

const TIMES: Readonly<Record<string, number>> = {once: 1, twice: 2};
const NOT_RUN = 'not_run';

const send = async (port: number, agent: UpstreamAgent, requestId: string, attempt: string, method: string): Promise<{end: string; body: string}> => new Promise(resolve => {
	sendAttempt(port, agent, resolve, {requestId, attempt, method});
});

After(function (this: RepeatedWorld) {
	this.twofold?.close();
	this.twofold = undefined;
});

Given('an upstream that sends each rejection a second time while the next request runs on the connection', function (this: RepeatedWorld) {
	this.twofold = new TwofoldUpstream(requestId => {
		const isRejected = requestId === '1' && this.rejections > 0;
		this.rejections -= isRejected ? 1 : 0;
		return {isRejected, isPreviousRepeated: requestId === '1' && !isRejected};
	});
});

When('a {word} request is rejected {word} and sent again with {int} connections and {int} other requests in between', async function (
	this: RepeatedWorld,
	method: string,
	times: string,
	connections: number,
	others: number,
) {
	const port = await this.twofold!.listen();
	const agent = new UpstreamAgent(connections);
	this.rejections = TIMES[times];
	for (let attempt = 1; attempt <= TIMES[times]; attempt += 1) {
		const {end} = await send(port, agent, '1', `rejected-${attempt}`, method);
		assert.match(end, new RegExp(NOT_RUN));
	}

	for (let other = 1; other <= others; other += 1) {
		await send(port, agent, `other-${other}`, `other-${other}`, method);
	}

	this.result = await send(port, agent, '1', 'last', method);
	agent.destroy();
});

Then('the request is answered by the upstream and has run once', function (this: RepeatedWorld) {
	assert.deepEqual(this.result, {end: 'whole', body: 'last'});
	assert.equal(this.twofold!.runs.filter(attempt => attempt === 'last').length, 1);
});

Then('at most {int} connections were opened', function (this: RepeatedWorld, most: number) {
	assert.ok(this.twofold!.connectionCount <= most, String(this.twofold!.connectionCount));
});

const playHistory = async (seed: number, requests: number, ids: number): Promise<string[]> => {
	const random = newRandom(seed);
	const upstream = new TwofoldUpstream(() => ({isRejected: random() < REJECTED_SHARE, isPreviousRepeated: random() < REPEATED_SHARE}));
	const port = await upstream.listen();
	const agent = new UpstreamAgent(CONNECTIONS);
	const play = async (requestId: string, attempt: string, method: string): Promise<PlayedAttempt> => ({attempt, result: await send(port, agent, requestId, attempt, method)});
	const ended: Array<Promise<PlayedAttempt>> = [];
	for (let index = 0; index < requests; index += 1) {
		const attempt = `${seed}-${index}`;
		const requestId = String(Math.floor(random() * ids));
		ended.push(play(requestId, attempt, random() < 0.5 ? 'GET' : 'POST'));
		await wait(Math.floor(random() * (MAX_PAUSE_MS + 1)));
	}

	const results = await Promise.all(ended);
	agent.destroy();
	upstream.close();
	const isFaulty = ({attempt, result: {end, body}}: PlayedAttempt): boolean =>
		(end.endsWith(NOT_RUN) && upstream.runs.includes(attempt)) || (end === 'whole' && body !== attempt);
	return results.filter(each => isFaulty(each)).map(({attempt, result}) => `${attempt}: ${result.end} ${result.body}`);
};

When('{int} random histories of {int} requests with {int} ids are played at an upstream that sends answers a second time', {timeout: 60_000}, async function (
	this: RepeatedWorld,
	count: number,
	requests: number,
	ids: number,
) {
	const faulty = await Promise.all(Array.from({length: count}, async (_, index) => playHistory((SEED * count) + index, requests, ids)));
	this.faulty = faulty.flat();
});

Then('no attempt was told as not run although it ran, and none got the answer to another one', function (this: RepeatedWorld) {
	assert.deepEqual(this.faulty, []);
});
