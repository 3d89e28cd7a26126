import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {RawCaller} from '../platform/tests/support/raw-caller.js';
import type {InstallationWorld} from './support/installation-world.js';

type ClosingWorld = InstallationWorld & {
	caller: RawCaller;
};

const HOST = '127.0.0.1';

/** For a call to begin to run, in milliseconds. */
const ARRIVAL_MS = 200;

/** For the entry to close the connection, in milliseconds, before the caller reads. */
const UNREAD_MS = 1000;

/** The longest time in which all answers must have come, in milliseconds. */
const LIMIT_MS = 8000;

const POLL_MS = 20;

/** Parts in which a long input is sent. */
const PARTS = 30;

const NO_HTTP = 'no HTTP at all\r\n\r\n';

const newCall = (key: string, body: string): string =>
	`POST /services/holds/reserve HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${key}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** What a caller sends before parts of any length. */
const BEGINNINGS: Readonly<Record<string, string>> = {
	'a head': 'POST /services/holds/reserve HTTP/1.1\r\nhost: entry\r\nx-long: ',
	'no HTTP': NO_HTTP,
};

const connect = async (world: ClosingWorld, entry: number): Promise<void> => {
	world.caller = new RawCaller(HOST, world.installation.entries[entry - 1].httpPort);
	await world.caller.connected();
};

When('a caller sends entry {int} {int} calls together, and the entry gets SIGTERM {int} ms {word}', async function (
	this: ClosingWorld,
	entry: number,
	count: number,
	ms: number,
	order: string,
) {
	const {program} = this.installation.entries[entry - 1];
	await connect(this, entry);
	const calls = Array.from({length: count}, (_value, index) => newCall(this.key, `c${index + 1}`)).join('');
	if (order === 'before') {
		program.signal('SIGTERM');
		await wait(ms);
		this.caller.send(calls);
	} else {
		this.caller.send(calls);
		await wait(ms);
		program.signal('SIGTERM');
	}
});

When('a caller sends entry {int} a call, and then no HTTP', async function (this: ClosingWorld, entry: number) {
	await connect(this, entry);
	this.caller.send(newCall(this.key, 'c1'));
	await wait(ARRIVAL_MS);
	this.caller.send(NO_HTTP);
});

When('a caller that does not read calls entry {int} and sends {} of {int} bytes', async function (this: ClosingWorld, entry: number, input: string, bytes: number) {
	await connect(this, entry);
	this.caller.pause();
	this.caller.send(BEGINNINGS[input]);
	for (let part = 0; part < PARTS; part += 1) {
		this.caller.send('x'.repeat(bytes / PARTS));
		await wait(POLL_MS);
	}

	await wait(UNREAD_MS);
	this.caller.resume();
});

Then('{int} call(s) are answered with status {int}, and the last answer closes the connection', async function (this: ClosingWorld, count: number, status: number) {
	const {caller} = this;
	const endsAt = performance.now() + LIMIT_MS;
	while (!caller.isClosed && performance.now() < endsAt) {
		await wait(POLL_MS);
	}

	const answers = caller.answers.map(answer => `${answer.status} ${answer.isComplete ? 'whole' : 'cut'}${answer.isLast ? ', last' : ''}`);
	assert.deepEqual(answers, Array.from({length: count}, (_value, index) => `${status} whole${index === count - 1 ? ', last' : ''}`));
	assert.ok(caller.isClosed);
});

Then('no call has run without an answer', async function (this: ClosingWorld) {
	const ran = await this.getRan();
	assert.equal(ran.length, this.caller.answers.length, `ran: ${ran.join(' ')}`);
});
