import type {Buffer} from 'node:buffer';

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;
const COLON = 0x3A;

/** The byte order mark that a stream may begin with, in UTF-8. */
const BYTE_ORDER_MARK = [0xEF, 0xBB, 0xBF];

/**
 * Follows the lines of an event stream (WHATWG HTML, server-sent events). Lines end with LF, CRLF or CR; an event ends with a blank line,
 * and a line that begins with a colon is a comment.
 */
export class EventScanner {
	/** Bytes of the present line. */
	#lineLength = 0;
	#isComment = false;
	/** Whether a line of an event has come that has not ended. */
	#isInEvent = false;
	#hasEvents = false;
	/** Whether the last byte was a carriage return, to which a line feed may belong. */
	#isAfterReturn = false;
	/** Whether the last line that ended was blank. */
	#isAfterBlank = false;
	/** Bytes since the beginning, as long as they may be the mark; undefined after that. */
	#markLength: number | undefined = 0;

	/** Whether an event has ended. */
	get hasEvents(): boolean {
		return this.#hasEvents;
	}

	/** Whether the stream may end here: after an event or a comment, or before the first one. */
	get isOutsideEvent(): boolean {
		const isInMark = this.#markLength !== undefined && this.#markLength > 0;
		return !this.#isInEvent && this.#lineLength === 0 && !isInMark;
	}

	/** @returns The place in the chunk after the last blank line that ends in it, or 0. Events and comments before it are whole. */
	take(chunk: Buffer): number {
		let end = 0;
		for (const [index, byte] of chunk.entries()) {
			if (this.#takeByte(byte)) {
				end = index + 1;
			}
		}

		return end;
	}

	/** @returns Whether a blank line has ended with this byte. */
	#takeByte(byte: number): boolean {
		if (this.#takeMark(byte)) {
			return false;
		}

		const isSecondHalf = byte === LINE_FEED && this.#isAfterReturn;
		this.#isAfterReturn = byte === CARRIAGE_RETURN;
		if (isSecondHalf) {
			// Callers may wait for it.
			return this.#isAfterBlank;
		}

		if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
			this.#isAfterBlank = this.#endLine();
			return this.#isAfterBlank;
		}

		if (this.#lineLength === 0) {
			this.#isComment = byte === COLON;
		}

		this.#lineLength += 1;
		return false;
	}

	/** @returns Whether the byte belongs to a byte order mark. */
	#takeMark(byte: number): boolean {
		if (this.#markLength === undefined) {
			return false;
		}

		if (byte !== BYTE_ORDER_MARK[this.#markLength]) {
			// What looked like a mark is the beginning of the first line.
			this.#lineLength = this.#markLength;
			this.#markLength = undefined;
			return false;
		}

		const length = this.#markLength + 1;
		this.#markLength = length === BYTE_ORDER_MARK.length ? undefined : length;
		return true;
	}

	/** @returns Whether the line was blank. */
	#endLine(): boolean {
		const isBlank = this.#lineLength === 0;
		this.#lineLength = 0;
		if (!isBlank) {
			this.#isInEvent ||= !this.#isComment;
			return false;
		}

		this.#hasEvents ||= this.#isInEvent;
		this.#isInEvent = false;
		return true;
	}
}
