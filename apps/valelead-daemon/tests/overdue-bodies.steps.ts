import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {setImmediate as nextIteration} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {OUTCOME, RESULT_CODE, type ValeleadError} from '@valelead/common';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {CallerBodies} from 'valelead-daemon';

type Outcome = {
	readonly at: number;
	readonly error: ValeleadError | undefined;
	readonly release: (() => void) | undefined;
};

type BodiesWorld = {
	time: VirtualTime;
	bodies: CallerBodies;
	messages: PassThrough[];
	outcomes: Outcome[];
	collections: number;
};

const MAX_BYTES = 1_000_000;
const STEP_MS = 1;
const LATER_MS = 5000;

const read = async (world: BodiesWorld, message: PassThrough, endsAt: number): Promise<void> => {
	try {
		const {release} = await world.bodies.read(message as never, {maxBytes: MAX_BYTES, endsAt});
		world.outcomes.push({at: world.time.now, error: undefined, release});
	} catch (error) {
		world.outcomes.push({at: world.time.now, error: error as ValeleadError, release: undefined});
	}
};

/** Lets time pass in small steps, so that what a timer ends is noted at its time. */
const pass = async ({time}: BodiesWorld, ms: number): Promise<void> => {
	for (let passed = 0; passed < ms; passed += STEP_MS) {
		time.advance(STEP_MS);
		await nextIteration();
	}
};

Given('{int} bodies that must be complete after {int} ms', function (this: BodiesWorld, count: number, limitMs: number) {
	this.time = new VirtualTime();
	const getNow = (): number => this.time.now;
	this.collections = 0;
	this.bodies = new CallerBodies({
		maxTotalBytes: count * MAX_BYTES,
		clock: {now: getNow, wallNow: getNow},
		timers: newVirtualTimers(this.time),
		collectGarbage: () => {
			this.collections += 1;
		},
	});
	this.outcomes = [];
	this.messages = Array.from({length: count}, () => new PassThrough());
	for (const message of this.messages) {
		void read(this, message, limitMs);
	}
});

const sendParts = async (world: BodiesWorld, parts: number, periodMs: number): Promise<void> => {
	for (let part = 0; part < parts; part += 1) {
		for (const message of world.messages) {
			message.write('part');
		}

		await pass(world, periodMs);
	}
};

When('their callers send {int} parts {int} ms apart and do not end them', async function (this: BodiesWorld, parts: number, periodMs: number) {
	await sendParts(this, parts, periodMs);
	await pass(this, LATER_MS);
});

When('{int} of their callers send {int} bytes each and do not end them', async function (this: BodiesWorld, callers: number, bytes: number) {
	for (const message of this.messages.slice(0, callers)) {
		message.write('b'.repeat(bytes));
	}

	await pass(this, LATER_MS);
});

Then('garbage was collected {int} times', function (this: BodiesWorld, collections: number) {
	assert.equal(this.collections, collections);
});

When('their callers send {int} parts {int} ms apart and end them', async function (this: BodiesWorld, parts: number, periodMs: number) {
	await sendParts(this, parts, periodMs);
	for (const message of this.messages) {
		message.end();
	}

	await pass(this, LATER_MS);
});

Then('each was refused as not run at {int} ms, and no body is held', function (this: BodiesWorld, limitMs: number) {
	const told = this.outcomes.map(({at, error}) => ({at, code: error?.code, outcome: error?.outcome}));
	assert.deepEqual(told, this.messages.map(() => ({at: limitMs, code: RESULT_CODE.WaitTooLong, outcome: OUTCOME.NotRun})));
	assert.equal(this.bodies.totalBytes, 0);
});

Then('each is held until it is released', function (this: BodiesWorld) {
	assert.ok(this.bodies.totalBytes > 0);
	for (const {error, release} of this.outcomes) {
		assert.equal(error, undefined);
		release!();
	}

	assert.equal(this.bodies.totalBytes, 0);
});
