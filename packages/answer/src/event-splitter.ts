import {Buffer} from 'node:buffer';
import {EventScanner} from './event-scanner.js';

/** What a chunk added: bytes up to the end of the last whole event, and that event's id. */
type WholeEvents = {
	readonly bytes: Buffer;
	/** Undefined where no event with an id has come yet. */
	readonly lastEventId: string | undefined;
};

/** A byte order mark may stand before the first line. It is read as Latin-1 here. */
const ID_LINE = /^(?:\u00EF\u00BB\u00BF)?id: ?(?<id>.*)$/gmv;

const BYTE_ORDER_MARK = Buffer.from('\uFEFF');

/** Cuts a stream of events into whole ones, so that a broken stream can go on after the last of them. */
export class EventSplitter {
	readonly #scanner = new EventScanner();
	/** Whether a byte order mark may come that is not to be passed on. */
	#isMarkDue: boolean;
	#rest: Buffer = Buffer.alloc(0);

	/** @param isContinuation - Whether the events go on in a stream that has begun, in which a byte order mark would belong to a field's name. */
	constructor(isContinuation = false) {
		this.#isMarkDue = isContinuation;
	}

	take(chunk: Buffer): WholeEvents {
		const end = this.#scanner.take(chunk);
		if (end === 0) {
			this.#rest = Buffer.concat([this.#rest, chunk]);
			return {bytes: Buffer.alloc(0), lastEventId: undefined};
		}

		const whole = this.#withoutMark(Buffer.concat([this.#rest, chunk.subarray(0, end)]));
		this.#isMarkDue = false;
		this.#rest = chunk.subarray(end);
		return {bytes: whole, lastEventId: this.#getLastId(whole)};
	}

	/** Bytes after the last whole event. */
	get rest(): Buffer {
		return this.#withoutMark(this.#rest);
	}

	#withoutMark(bytes: Buffer): Buffer {
		return this.#isMarkDue && bytes.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK) ? bytes.subarray(BYTE_ORDER_MARK.length) : bytes;
	}

	#getLastId(whole: Buffer): string | undefined {
		let last: string | undefined;
		for (const match of whole.toString('latin1').matchAll(ID_LINE)) {
			last = match.groups?.id;
		}

		return last?.trimEnd();
	}
}
