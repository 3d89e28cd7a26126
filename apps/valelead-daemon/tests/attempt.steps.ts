import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {Then, When} from '@cucumber/cucumber';
import {type Frame, FrameSchema} from '@valelead/protocol';
import {Attempt} from 'valelead-daemon';

type AttemptWorld = {
	end: string;
};

type Part = Frame['part'];

const DATA: Part = {case: 'data', value: Buffer.from('x')};

const newEnd = (frames: number): Part => ({case: 'end', value: {$typeName: 'valelead.v1.AnswerEnd', frames, bytes: frames - 1}});

const PARTS: Readonly<Record<string, Part>> = {
	start: {case: 'start', value: {$typeName: 'valelead.v1.AnswerStart', status: 200, contentType: 'text/plain'}},
	data: DATA,
	gap: DATA,
	foreign: DATA,
	'end-of-two': newEnd(3),
	refusal: {
		case: 'refusal',
		value: {
			$typeName: 'valelead.v1.AnswerRefusal', code: 3001, message: '', outcome: 'not_run', retryAfterMs: 0,
		},
	},
};

const newFrames = (names: readonly string[], attemptId: string): Frame[] => {
	let sequence = 0;
	return names.map((name, index) => {
		sequence += name === 'gap' ? 2 : 1;
		const part = name === 'end' ? newEnd(index) : PARTS[name];
		return create(FrameSchema, {attemptId: name === 'foreign' ? 'other' : attemptId, sequence: sequence - 1, part});
	});
};

When('an agent answers an attempt with frames {string}', async function (this: AttemptWorld, names: string) {
	this.end = await new Promise(resolve => {
		const attempt = new Attempt({
			attemptId: 'a',
			vm: 'vm',
			sink: {
				isStream: true, start: () => undefined, data: () => undefined, end: () => undefined, refuse: () => undefined,
			},
			maxBufferedBytes: 100,
			events: {
				onStart: () => true,
				onData: () => undefined,
				onEnd() {
					resolve('whole');
				},
				onFailure(code) {
					resolve(String(code));
				},
				onCancel: () => undefined,
				askOutcome: async () => 'unknown',
			},
		});
		for (const frame of newFrames(names.split(' '), 'a')) {
			attempt.handleFrame(frame);
		}

		void attempt.handleLaneClosed();
	});
});

Then('the attempt ends as {string}', function (this: AttemptWorld, end: string) {
	assert.equal(this.end, end);
});
