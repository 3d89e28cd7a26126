import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {type HttpAnswer, callHttp} from '@valelead/fakes';
import type {InstallationWorld} from './support/installation-world.js';

type StoppingWorld = InstallationWorld & {
	/** From the stop signal, or from the request if it came later, to the end of the answer, in milliseconds. */
	answeredMs: number;
};

const MS_PER_SECOND = 1000;

/** For a request to arrive at its entry and to wait there, in milliseconds. */
const ARRIVAL_MS = 500;

const CALL = '/services/holds/reserve';

const HTTP_OK = 200;

const stop = (world: StoppingWorld, entry: number): void => {
	world.installation.entries[entry - 1].program.signal('SIGTERM');
};

/** A request on a connection that the caller would keep. */
const send = async (world: StoppingWorld, entry: number, path: string, body: string, headers: Readonly<Record<string, string>> = {}): Promise<HttpAnswer> => {
	const agent = new Agent({keepAlive: true});
	try {
		return await callHttp({
			port: world.installation.entries[entry - 1].httpPort,
			path,
			method: 'POST',
			headers: {authorization: `Bearer ${world.key}`, 'content-type': 'application/json', ...headers},
			body,
			agent,
		});
	} finally {
		agent.destroy();
	}
};

const ask = async (world: StoppingWorld, entry: number, model: string): Promise<HttpAnswer> =>
	send(world, entry, '/v1/chat/completions', JSON.stringify({model, max_tokens: 3, messages: [{role: 'user', content: 'x'}]}));

const call = async (world: StoppingWorld, entry: number, key: string): Promise<HttpAnswer> => send(world, entry, CALL, 'dress', {'idempotency-key': key});

/** Tells an entry to stop while a request waits there. */
const stopWhileWaiting = async (world: StoppingWorld, entry: number, newAnswer: () => Promise<HttpAnswer>): Promise<void> => {
	const answering = newAnswer();
	await wait(ARRIVAL_MS);
	stop(world, entry);
	const startedAt = performance.now();
	world.answers = [await answering];
	world.answeredMs = performance.now() - startedAt;
};

Given('requests may take {int} seconds, and a model {string} that no engine has room for', async function (this: StoppingWorld, seconds: number, model: string) {
	await this.control.execute([{kind: 'alterClass', name: 'urgent', deadlineMs: seconds * MS_PER_SECOND}], {commandId: 'long'});
	await this.installation.exec(`create model ${model} memory 4096GiB replicas 0..1 class urgent teams mill`);
	const headers = {authorization: `Bearer ${this.key}`};
	await this.installation.waitFor('the model at all entries', async () => {
		const lists = await Promise.all(this.installation.entries.map(async ({httpPort}) => callHttp({port: httpPort, path: '/v1/models', headers})));
		return lists.every(({text}) => text.includes(model));
	});
});

When('a caller waits at entry {int} for {string} and the entry gets SIGTERM', async function (this: StoppingWorld, entry: number, model: string) {
	await stopWhileWaiting(this, entry, async () => ask(this, entry, model));
});

When('a call with key {string} waits at entry {int} for a service without an upstream and the entry gets SIGTERM', async function (this: StoppingWorld, key: string, entry: number) {
	await stopWhileWaiting(this, entry, async () => call(this, entry, key));
});

When('entry {int} gets SIGTERM and a caller asks it for {string} {int} ms later', async function (this: StoppingWorld, entry: number, model: string, ms: number) {
	stop(this, entry);
	await wait(ms);
	const startedAt = performance.now();
	this.answers = [await ask(this, entry, model)];
	this.answeredMs = performance.now() - startedAt;
});

Then('the caller is refused within {int} ms as not run with code {int}, and its connection ends', function (this: StoppingWorld, limitMs: number, code: number) {
	const [answer] = this.answers;
	const refusal = this.getRefusal(answer);
	assert.deepEqual({code: refusal.code, outcome: refusal.outcome, connection: answer.headers.connection}, {code, outcome: 'not_run', connection: 'close'});
	assert.ok(this.answeredMs < limitMs, `${this.answeredMs} ms`);
});

Then('the whole answer comes and its connection ends', function (this: StoppingWorld) {
	const [answer] = this.answers;
	assert.equal(answer.status, HTTP_OK, answer.text);
	assert.equal(answer.headers.connection, 'close');
});

Then('the call with key {string} is answered by entry {int} once entry {int} has ended and the service has an upstream', async function (
	this: StoppingWorld,
	key: string,
	entry: number,
	ended: number,
) {
	await this.installation.entries[ended - 1].program.exited();
	await this.installation.addUpstream('service', 0);
	await this.installation.waitUntilReady();
	const answer = await call(this, entry, key);
	assert.equal(answer.status, HTTP_OK, answer.text);
});
