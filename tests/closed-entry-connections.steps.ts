import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {RawCaller} from '../platform/tests/support/raw-caller.js';
import type {InstallationWorld} from './support/installation-world.js';

type ClosingWorld = InstallationWorld & {
	caller: RawCaller;
};

const HOST = '127.0.0.1';

/** The longest time in which all answers must have come, in milliseconds. */
const LIMIT_MS = 8000;

const POLL_MS = 20;

const newCall = (key: string, body: string): string =>
	`POST /services/holds/reserve HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${key}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

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
