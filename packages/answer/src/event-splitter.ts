import {Buffer} from 'node:buffer';
import {EventScanner} from './event-scanner.js';
import type {CompleteEvents} from './complete-events.js';

/** Matches the line with an event's id. A byte order mark may precede the first line; decoded as Latin-1, it reads as three characters. */
const ID_LINE = /^(?:\u00EF\u00BB\u00BF)?id: ?(?<id>.*)$/gmv;

/** Matches a line that is neither empty nor a comment. */
const FIELD_LINE = /^(?:\u00EF\u00BB\u00BF)?[^:\r\n\u00EF]/mv;

const BYTE_ORDER_MARK = Buffer.from('\uFEFF');

/** Passes on only complete events of a stream, so that a stream that breaks can be resumed on another upstream after the last of them. */
export class EventSplitter {
	readonly #scanner = new EventScanner();
	/** True if a byte order mark may still arrive that must be removed. */
	#isMarkExpected: boolean;
	/** The chunks of the incomplete event. They are joined only once it is complete, as joining them for each chunk takes quadratic time. */
	#rest: Buffer[] = [];
	#restBytes = 0;

	/**
	 * @param isContinuation - True if the events resume a stream that the caller has begun to receive. A byte order mark is removed then, as in
	 * the middle of the stream it would be read as part of a field name.
	 */
	constructor(isContinuation = false) {
		this.#isMarkExpected = isContinuation;
	}

	/** Adds the next chunk and returns the events that are complete with it. */
	addChunk(chunk: Buffer): CompleteEvents {
		const end = this.#scanner.scan(chunk);
		if (end === 0) {
			this.#rest.push(chunk);
			this.#restBytes += chunk.length;
			return {bytes: Buffer.alloc(0), hasEvents: false, lastEventId: undefined};
		}

		const complete = this.#withoutMark(Buffer.concat([...this.#rest, chunk.subarray(0, end)]));
		this.#isMarkExpected = false;
		this.#rest = end === chunk.length ? [] : [chunk.subarray(end)];
		this.#restBytes = chunk.length - end;
		const text = complete.toString('latin1');
		return {bytes: complete, hasEvents: FIELD_LINE.test(text), lastEventId: this.#getLastId(text)};
	}

	/** The bytes after the last complete event. */
	get rest(): Buffer {
		return this.#withoutMark(Buffer.concat(this.#rest));
	}

	/** Length of the incomplete event, in bytes. */
	get restBytes(): number {
		return this.#restBytes;
	}

	/** Number of chunks in which the incomplete event arrived. */
	get restChunks(): number {
		return this.#rest.length;
	}

	#withoutMark(bytes: Buffer): Buffer {
		return this.#isMarkExpected && bytes.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK) ? bytes.subarray(BYTE_ORDER_MARK.length) : bytes;
	}

	#getLastId(text: string): string | undefined {
		let last: string | undefined;
		for (const match of text.matchAll(ID_LINE)) {
			last = match.groups?.id;
		}

		return last?.trimEnd();
	}
}
