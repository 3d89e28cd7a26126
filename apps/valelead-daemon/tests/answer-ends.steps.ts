import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import type {ValeleadError} from '@valelead/common';
import {HttpUpstream} from '@valelead/engine';
import {ResponseSource} from './response-source.js';
import {sendAttempt} from './send-attempt.js';
import {newSystemTimers} from './new-system-timers.js';
import {type EngineCodec, EngineClient, UpstreamAgent} from 'valelead-daemon';

type Response = ConstructorParameters<typeof ResponseSource>[0];

type EndsWorld = {
	end: string;
	/** The state of the connection after a truncated response. */
	connection: string | undefined;
	/** Descriptions of the responses whose end was not classified as expected. */
	mistaken: string[];
};

const HEAD = 'HTTP/1.1 200 OK\r\nid: 1\r\n';
const STREAM = `${HEAD}content-type: text/event-stream; charset=utf-8\r\n`;
const CHUNKED = `${STREAM}transfer-encoding: chunked\r\n\r\n`;
const EVENT = 'id: 1\ndata: a\n\n';
const CRLF_EVENT = EVENT.replaceAll('\n', '\r\n');
const CR_EVENT = EVENT.replaceAll('\n', '\r');
const PART = 'id: 2\ndata';
const LAST_CHUNK = '0\r\n\r\n';

/** The most that Node reads from a connection at once, in bytes. */
const READ_BYTES = 65_536;

const newChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const newLength = (text: string): string => `${STREAM}content-length: ${text.length}\r\n\r\n${text}`;

const RESPONSES: Readonly<Record<string, Response>> = {
	'unframed, reset right after its head': {bytes: `${HEAD}\r\n`, end: 'reset'},
	'unframed, closed in order': {bytes: `${HEAD}\r\nok`, end: 'close'},
	'unframed and empty, closed in order': {bytes: `${HEAD}\r\n`, end: 'close'},
	'unframed, reset some time after its last byte': {bytes: `${HEAD}\r\nok`, end: 'late reset'},
	'a stream, unframed, reset right after its head': {bytes: `${STREAM}\r\n`, end: 'reset'},
	'a stream, unframed, closed right after its head': {bytes: `${STREAM}\r\n`, end: 'close'},
	'a stream, unframed, closed some time after its head': {bytes: `${STREAM}\r\n`, end: 'late close'},
	'a stream, unframed, closed inside an event': {bytes: `${STREAM}\r\n${EVENT}${PART}`, end: 'late close'},
	'a stream, unframed, closed between events': {bytes: `${STREAM}\r\n${EVENT}${EVENT}`, end: 'late close'},
	'a stream, unframed, closed after a comment': {bytes: `${STREAM}\r\n${EVENT}: alive\n`, end: 'late close'},
	'a stream, unframed, closed inside a comment': {bytes: `${STREAM}\r\n${EVENT}: ali`, end: 'late close'},
	'a stream, unframed, CRLF, closed between events': {bytes: `${STREAM}\r\n${CRLF_EVENT}`, end: 'late close'},
	'a stream, unframed, CRLF, closed inside an event': {bytes: `${STREAM}\r\n${CRLF_EVENT}id: 2\r\n`, end: 'late close'},
	'a stream, unframed, CR, closed between events': {bytes: `${STREAM}\r\n${CR_EVENT}`, end: 'late close'},
	'a stream, unframed, CR, closed inside an event': {bytes: `${STREAM}\r\n${CR_EVENT}id: 2\r`, end: 'late close'},
	'a stream, unframed, with a byte order mark': {bytes: `${STREAM}\r\n\uFEFF${EVENT}`, end: 'late close'},
	'a stream, in chunks, ended inside an event': {bytes: `${CHUNKED}${newChunk(`${EVENT}${PART}`)}${LAST_CHUNK}`, end: 'keep'},
	'a stream, in chunks, ended between events': {bytes: `${CHUNKED}${newChunk(EVENT)}${LAST_CHUNK}`, end: 'keep'},
	'a stream, in chunks, ended without an event': {bytes: `${CHUNKED}${LAST_CHUNK}`, end: 'keep'},
	'a stream, in chunks, cut in the last chunk': {bytes: `${CHUNKED}${newChunk(EVENT)}0\r\n`, end: 'close'},
	'a stream, with a length, ended inside an event': {bytes: newLength(`${EVENT}${PART}`), end: 'keep'},
	'a stream, with a length, ended between events': {bytes: newLength(EVENT), end: 'keep'},
	'unframed, closed in the middle': {bytes: `${HEAD}\r\n{"a":`, end: 'late close'},
	'unframed, reset with its last bytes': {bytes: `${HEAD}\r\n{"a":`, end: 'reset'},
	'unframed, reset with bytes that follow its head': {bytes: `${HEAD}\r\n`, laterBytes: 'ok', end: 'reset'},
	'a stream, unframed, reset with its last event': {bytes: `${STREAM}\r\n`, laterBytes: EVENT, end: 'reset'},
	'a stream, in a type of other case, inside an event': {bytes: `${HEAD}content-type: Text/Event-Stream\r\n\r\n${EVENT}${PART}`, end: 'late close'},
	'a stream, not compressed as it says, inside an event': {bytes: `${STREAM}content-encoding: identity\r\n\r\n${EVENT}${PART}`, end: 'late close'},
	'a stream without a body, as its status says': {bytes: `${STREAM.replace('200 OK', '204 No Content')}\r\n`, end: 'close'},
	'a stream that has not changed, as its status says': {bytes: `${STREAM.replace('200 OK', '304 Not Modified')}\r\n`, end: 'close'},
	'a compressed stream, in chunks, ended in order': {bytes: `${STREAM}content-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n${newChunk('compressed')}${LAST_CHUNK}`, end: 'keep'},
	'a stream, in a coding without chunks, reset': {bytes: `${STREAM}transfer-encoding: gzip\r\n\r\n`, end: 'reset'},
	'a stream, in a coding without chunks, closed': {bytes: `${STREAM}transfer-encoding: gzip\r\n\r\n`, end: 'late close'},
	'unframed, one full buffer, closed in order': {bytes: `${HEAD}\r\n`.padEnd(READ_BYTES, 'a'), end: 'close'},
	'unframed, one full buffer, reset': {bytes: `${HEAD}\r\n`.padEnd(READ_BYTES, 'a'), end: 'reset'},
	'whole, with a status that no response may have': {bytes: 'HTTP/1.1 000 OK\r\nid: 1\r\ncontent-length: 2\r\n\r\nok', end: 'keep'},
	'without a body, as its status says': {bytes: 'HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n', end: 'close'},
};

/** A codec that decodes a status from JSON, as the codecs of engines do. */
const STATUS_CODEC = {
	newStatusCall: () => ({
		method: 'GET', path: '/', headers: {}, body: '',
	}),
	decodeStatus: (text: string) => JSON.parse(text) as unknown,
	decodeInstanceId: () => '',
} as unknown as EngineCodec;

const CALL_TIMEOUT_MS = 1000;

/** The result code and the outcome of a truncated response. */
const TRUNCATED_RESULT = '3005 unknown';

/** Number of random streams. Each of them is truncated at some hundred positions. */
const STREAMS = 8;
const SEED = 55;

/** Number of connections that are open at once. */
const PARALLEL = 16;

const BROKEN_ENDS = ['late close', 'reset'] as const;

const RANDOM_STREAM = fc.record({
	lineEnd: fc.constantFrom('\n', '\r\n', '\r'),
	hasMark: fc.boolean(),
	events: fc.array(fc.record({
		id: fc.boolean(), comment: fc.boolean(), lines: fc.array(fc.string({unit: fc.constantFrom('a', 'b', ':', ' '), maxLength: 4}), {minLength: 1, maxLength: 2}),
	}), {minLength: 1, maxLength: 2}),
});

type RandomStream = {
	readonly bytes: Buffer;
	/** The lengths at which the stream is outside an event; the value is true if an event has ended before. */
	readonly outside: ReadonlyMap<number, boolean>;
};

const INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n';
const EARLY_HINTS = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';

/** Response heads, each with its last line. */
const HEADS: Readonly<Record<string, string>> = {
	unframed: `${HEAD}\r\n`,
	'with a length': `${HEAD}content-length: 2\r\n\r\n`,
	'with a length of 0': `${HEAD}content-length: 0\r\n\r\n`,
	'in chunks': CHUNKED,
	'a stream, unframed': `${STREAM}\r\n`,
	'HTTP/1.0': `${HEAD.replace('HTTP/1.1', 'HTTP/1.0')}\r\n`,
	'HTTP/1.0 with a length': `${HEAD.replace('HTTP/1.1', 'HTTP/1.0')}content-length: 2\r\n\r\n`,
	'without a body': 'HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n',
	'not modified': 'HTTP/1.1 304 Not Modified\r\nid: 1\r\n\r\n',
	'a refusal': 'HTTP/1.1 503 Service Unavailable\r\nid: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n',
	'after an interim head': `${INTERIM}${HEAD}content-length: 0\r\n\r\n`,
	'after early hints': `${EARLY_HINTS}${HEAD}\r\n`,
	'after two interim heads': `${INTERIM}${EARLY_HINTS}${STREAM}\r\n`,
	'with bare line feeds': `${HEAD}content-length: 0\r\n\r\n`.replaceAll('\r\n', '\n'),
};

type Framing = 'connection' | 'chunks' | 'length';

type SentEnd = Parameters<Parameters<typeof sendAttempt>[2]>[0];

type Truncation = Response & {
	readonly name: string;
	readonly isWhole: boolean;
};

const newStream = ({lineEnd, hasMark, events}: Parameters<Parameters<typeof RANDOM_STREAM.map>[0]>[0]): RandomStream => {
	let text = hasMark ? '\uFEFF' : '';
	const outside = new Map([[0, false], [Buffer.byteLength(text), false]]);
	const noteOutside = (hasEvents: boolean): void => {
		outside.set(Buffer.byteLength(text), hasEvents);
		// A carriage return ends its line, whether or not a line feed follows.
		if (lineEnd === '\r\n') {
			outside.set(Buffer.byteLength(text) - 1, hasEvents);
		}
	};

	for (const [index, {id, comment, lines}] of events.entries()) {
		if (comment) {
			text += `: c${lineEnd}`;
			noteOutside(index > 0);
		}

		text += [...(id ? [`id: ${index}`] : []), ...lines.map(line => `data: ${line}`), '', ''].join(lineEnd);
		noteOutside(true);
	}

	return {bytes: Buffer.from(text), outside};
};

const newFramed = (framing: Framing, body: Buffer, length: number, isEnded: boolean): Buffer => {
	switch (framing) {
		case 'connection': {
			return Buffer.concat([Buffer.from(`${STREAM}\r\n`), body]);
		}

		case 'length': {
			return Buffer.concat([Buffer.from(`${STREAM}content-length: ${length}\r\n\r\n`), body]);
		}

		default: {
			const chunk = body.length === 0 ? [] : [Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from('\r\n')];
			return Buffer.concat([Buffer.from(CHUNKED), ...chunk, ...(isEnded ? [Buffer.from(LAST_CHUNK)] : [])]);
		}
	}
};

/** Returns the stream truncated at each position and in each way, and the complete stream. */
const newTruncations = ({bytes, outside}: RandomStream): Truncation[] => {
	const cuts: Truncation[] = [];
	for (const framing of ['connection', 'chunks', 'length'] as const) {
		for (let length = 0; length <= bytes.length; length += 1) {
			const body = bytes.subarray(0, length);
			const newTruncation = (end: Response['end'], isEnded: boolean, isWhole: boolean): Truncation => ({
				name: `${framing}, ${length} of ${bytes.length} bytes of ${JSON.stringify(bytes.toString())}, ${end}${isEnded ? ', framing complete' : ''}`,
				bytes: newFramed(framing, body, isEnded ? length : bytes.length, isEnded),
				end,
				isWhole,
			});
			if (framing === 'connection') {
				const isWhole = outside.get(length) === true;
				cuts.push(newTruncation('late close', false, isWhole), newTruncation('close', false, isWhole), newTruncation('reset', false, false));
				continue;
			}

			cuts.push(newTruncation('keep', true, outside.has(length)));
			if (framing === 'chunks' || length < bytes.length) {
				cuts.push(...BROKEN_ENDS.map(end => newTruncation(end, false, false)));
			}
		}
	}

	return cuts;
};

const send = async (response: Response): Promise<SentEnd> => {
	const source = new ResponseSource(response);
	const agent = new UpstreamAgent(1);
	const port = await source.listen();
	const end = await new Promise<SentEnd>(resolve => {
		sendAttempt(port, agent, resolve);
	});
	agent.destroy();
	source.close();
	return end;
};

When('an upstream sends a response that is {string}', async function (this: EndsWorld, name: string) {
	const {end, connection} = await send(RESPONSES[name]);
	this.end = end;
	this.connection = connection;
});

Then('the response ends as {string}', function (this: EndsWorld, end: string) {
	assert.equal(this.end, end === 'whole' ? 'whole' : TRUNCATED_RESULT);
});

Then('the agent\'s request fails with {string}', function (this: EndsWorld, end: string) {
	assert.equal(this.end, end);
});

Then('the response ends as "cut" and its connection is {string}', function (this: EndsWorld, connection: string) {
	assert.deepEqual([this.end, this.connection], [TRUNCATED_RESULT, connection]);
});

When('random streams are sent in each framing, truncated at each byte and in each way', {timeout: 60_000}, async function (this: EndsWorld) {
	const cuts = fc.sample(RANDOM_STREAM, {numRuns: STREAMS, seed: SEED}).flatMap(stream => newTruncations(newStream(stream)));
	this.mistaken = [];
	const sendNext = async (): Promise<void> => {
		for (let cut = cuts.pop(); cut; cut = cuts.pop()) {
			const {end} = await send(cut);
			if ((end === 'whole') !== cut.isWhole) {
				this.mistaken.push(`${cut.name}: ${end}`);
			}
		}
	};

	await Promise.all(Array.from({length: PARALLEL}, sendNext));
});

Then('only streams that ended outside an event in a complete framing, or with their connection after an event, are accepted as complete', function (this: EndsWorld) {
	assert.equal(this.mistaken.length, 0, `${this.mistaken.length}: ${this.mistaken.slice(0, 5).join('\n')}`);
});

/** Returns a head that breaks off after `length` bytes, in each way. */
const newBrokenHeads = (name: string, head: string, length: number): Truncation[] => {
	const bytes = head.slice(0, length);
	const half = Math.floor(length / 2);
	const newBroken = (response: Response, parts: string): Truncation => ({...response, name: `${name}, ${length} bytes in ${parts}, ${response.end}`, isWhole: false});
	return [
		...BROKEN_ENDS.map(end => newBroken({bytes, end}, 'one part')),
		newBroken({bytes, end: 'close'}, 'one part'),
		newBroken({bytes: head.slice(0, half), laterBytes: head.slice(half, length), end: 'close'}, 'two parts'),
	];
};

When('heads of each kind are sent and break off at each byte, in one part or in two', {timeout: 60_000}, async function (this: EndsWorld) {
	const cuts = Object.entries(HEADS).flatMap(([name, head]) =>
		Array.from({length: head.length - 1}, (_, index) => newBrokenHeads(name, head, index + 1)).flat());
	this.mistaken = [];
	const sendNext = async (): Promise<void> => {
		for (let cut = cuts.pop(); cut; cut = cuts.pop()) {
			const {end} = await send(cut);
			if (!end.endsWith(' unknown')) {
				this.mistaken.push(`${cut.name}: ${end}`);
			}
		}
	};

	await Promise.all(Array.from({length: PARALLEL}, sendNext));
});

Then('none of them is accepted as complete or as a refusal', function (this: EndsWorld) {
	assert.equal(this.mistaken.length, 0, `${this.mistaken.length}: ${this.mistaken.slice(0, 10).join('\n')}`);
});

const withSource = async <Result>(name: string, ask: (port: number) => Promise<Result>): Promise<Result> => {
	const source = new ResponseSource(RESPONSES[name]);
	try {
		return await ask(await source.listen());
	} finally {
		source.close();
	}
};

When('an agent\'s upstream sends a response that is {string}', async function (this: EndsWorld, name: string) {
	this.end = await withSource(name, async port => {
		try {
			const {body} = await new HttpUpstream('127.0.0.1', port, CALL_TIMEOUT_MS).send({
				requestId: '1', attemptId: '1.1', team: 't', priority: 0, method: 'POST', path: '/', contentType: '', body: Buffer.from('x'), remainingMs: CALL_TIMEOUT_MS,
			}, new AbortController().signal);
			for await (const chunk of body) {
				assert.ok(chunk.length > 0);
			}

			return 'whole';
		} catch (error) {
			const {code, outcome} = error as ValeleadError;
			return `${code} ${outcome}`;
		}
	});
});

When('an engine sends its status in a response that is {string}', async function (this: EndsWorld, name: string) {
	this.end = await withSource(name, async port => {
		const client = new EngineClient(`127.0.0.1:${port}`, STATUS_CODEC, newSystemTimers());
		try {
			await client.getStatus();
			return 'taken';
		} catch {
			return 'refused';
		} finally {
			client.close();
		}
	});
});

Then('the sidecar rejects the status', function (this: EndsWorld) {
	assert.equal(this.end, 'refused');
});
