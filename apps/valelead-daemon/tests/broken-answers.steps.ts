import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {Then, When} from '@cucumber/cucumber';
import {
	OUTCOME, RESULT_CODE, SYSTEM_CLOCK, TimerService,
} from '@valelead/common';
import {sendRawRequest} from './send-raw-request.js';
import {HttpResponseWriter, StreamSink} from 'valelead-daemon';

type BrokenWorld = {
	sight: Awaited<ReturnType<typeof sendRawRequest>>;
};

/** More data than is buffered for a slow caller, in bytes. */
const MORE_THAN_BUFFERED = 16 * 1024 * 1024;

const STALL_MS = 1000;

/** Time in which the caller reads a part of a response, in milliseconds. */
const READ_MS = 20;

const EVENT = 'data: a\n\n';
const REFUSAL = {
	code: RESULT_CODE.AnswerCut, outcome: OUTCOME.Unknown, message: 'cut', retryAfterMs: 0,
};

const newAnswer = (response: ServerResponse): HttpResponseWriter => {
	const answer = new HttpResponseWriter({response, requestId: '1', isLast: () => true});
	answer.start(200, ['content-type', 'text/event-stream'], undefined);
	return answer;
};

const newSink = (response: ServerResponse): StreamSink => {
	const sink = new StreamSink(response, '1', new TimerService(SYSTEM_CLOCK), STALL_MS);
	sink.start(200, 'text/event-stream');
	return sink;
};

/** Functions by the name of the response: each writes a part of it and then aborts it. */
const BROKEN: Readonly<Record<string, (response: ServerResponse) => void>> = {
	'an answer of a gateway'(response) {
		const answer = newAnswer(response);
		answer.data(Buffer.from(EVENT));
		// The caller must have read the part by then: Node.js reports a reset that arrives together with data as a normal end.
		setTimeout(() => {
			answer.refuse(REFUSAL);
		}, READ_MS);
	},
	'a gateway\'s stream that is not taken'(response) {
		newAnswer(response).data(Buffer.alloc(MORE_THAN_BUFFERED, EVENT));
	},
	'an entry\'s stream that is not taken'(response) {
		newSink(response).data(Buffer.alloc(MORE_THAN_BUFFERED, EVENT));
	},
};

When('a caller of HTTP {} gets a part of {string}, which is then aborted', async function (this: BrokenWorld, version: string, answer: string) {
	this.sight = await sendRawRequest(version, BROKEN[answer]);
});

Then('the caller sees a reset', function (this: BrokenWorld) {
	assert.equal(this.sight.end, 'reset');
});

Then('the caller sees no last chunk', function (this: BrokenWorld) {
	assert.ok(this.sight.text.includes(EVENT));
	assert.ok(!this.sight.text.endsWith('0\r\n\r\n'));
});

When('an entry forwards {string} of a stream that then fails', async function (this: BrokenWorld, part: string) {
	this.sight = await sendRawRequest('1.0', response => {
		const sink = newSink(response);
		sink.data(Buffer.from(part.replaceAll(String.raw`\n`, '\n')));
		sink.refuse(REFUSAL);
	});
});

Then('its caller sees {string} and an error event', function (this: BrokenWorld, events: string) {
	const [, body] = this.sight.text.split('\r\n\r\n');
	const whole = events.replaceAll(String.raw`\n`, '\n');
	assert.ok(body.startsWith(`${whole}event: error\n`), body);
	assert.equal(this.sight.end, 'closed');
});
