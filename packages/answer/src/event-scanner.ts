import type {Buffer} from 'node:buffer';

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;
const COLON = 0x3A;

/** The UTF-8 byte order mark, which may precede the first line of a stream. */
const BYTE_ORDER_MARK = [0xEF, 0xBB, 0xBF];

/** Returns the offset of the next byte of a value, or the length of the chunk if there is none. */
const getOffset = (chunk: Buffer, byte: number, from: number): number => {
	const offset = chunk.indexOf(byte, from);
	return offset === -1 ? chunk.length : offset;
};

/**
 * Finds the ends of events in a stream of server-sent events (WHATWG HTML) that is read in chunks. Lines end with LF, CRLF or CR; a blank
 * line ends an event, and a line that begins with a colon is a comment.
 */
export class EventScanner {
	/** Number of bytes read of the current line. */
	#lineLength = 0;
	#isComment = false;
	/** True if a line of an event has been read, but not yet the blank line that ends the event. */
	#isInEvent = false;
	#hasEvents = false;
	/** True if the last byte was a carriage return; a line feed that follows it belongs to the same line end. */
	#isAfterReturn = false;
	/** True if the last complete line was blank. */
	#isAfterBlank = false;
	/** Number of bytes read of a possible byte order mark; undefined once the stream is known to be past it or to have none. */
	#markLength: number | undefined = 0;

	/** True if the stream contains at least one complete event so far. */
	get hasEvents(): boolean {
		return this.#hasEvents;
	}

	/** True if the stream could end here without truncating anything: after a complete event or comment, or before the first one. */
	get isOutsideEvent(): boolean {
		const isInMark = this.#markLength !== undefined && this.#markLength > 0;
		return !this.#isInEvent && this.#lineLength === 0 && !isInMark;
	}

	/**
	 * Reads the next chunk of the stream. The rest of a line is skipped by a search for its end: read byte by byte, an event of 1 MiB stalled the process
	 * for 350 ms.
	 * @returns The offset in the chunk after the last blank line that ends in it, or 0 if none does. Events and comments before the offset are complete.
	 */
	scan(chunk: Buffer): number {
		let end = 0;
		let index = 0;
		let feedAt = -1;
		let returnAt = -1;
		while (index < chunk.length) {
			if (this.#lineLength > 0) {
				feedAt = feedAt < index ? getOffset(chunk, LINE_FEED, index) : feedAt;
				returnAt = returnAt < index ? getOffset(chunk, CARRIAGE_RETURN, index) : returnAt;
				const lineEnd = Math.min(feedAt, returnAt);
				this.#lineLength += lineEnd - index;
				index = lineEnd;
			}

			if (index < chunk.length && this.#scanByte(chunk[index])) {
				end = index + 1;
			}

			index += 1;
		}

		return end;
	}

	/** @returns True if this byte ends a blank line. */
	#scanByte(byte: number): boolean {
		if (this.#scanMark(byte)) {
			return false;
		}

		const isSecondHalf = byte === LINE_FEED && this.#isAfterReturn;
		this.#isAfterReturn = byte === CARRIAGE_RETURN;
		if (isSecondHalf) {
			// Callers may wait for the line feed that follows the carriage return of a blank line, so it is passed on with the event.
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

	/** @returns True if the byte may belong to a byte order mark at the beginning of the stream. */
	#scanMark(byte: number): boolean {
		if (this.#markLength === undefined) {
			return false;
		}

		if (byte !== BYTE_ORDER_MARK[this.#markLength]) {
			// The bytes that matched the beginning of a byte order mark belong to the first line.
			this.#lineLength = this.#markLength;
			this.#markLength = undefined;
			return false;
		}

		const length = this.#markLength + 1;
		this.#markLength = length === BYTE_ORDER_MARK.length ? undefined : length;
		return true;
	}

	/** @returns True if the line was blank. */
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
