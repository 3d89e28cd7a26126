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

/** Cuts a stream of events into whole ones, so that a broken stream can go on after the last of them. */
export class EventSplitter {
	readonly #scanner = new EventScanner();
	#rest: Buffer = Buffer.alloc(0);

	take(chunk: Buffer): WholeEvents {
		const end = this.#scanner.take(chunk);
		if (end === 0) {
			this.#rest = Buffer.concat([this.#rest, chunk]);
			return {bytes: Buffer.alloc(0), lastEventId: undefined};
		}

		const whole = Buffer.concat([this.#rest, chunk.subarray(0, end)]);
		this.#rest = chunk.subarray(end);
		return {bytes: whole, lastEventId: this.#getLastId(whole)};
	}

	/** Bytes after the last whole event. */
	get rest(): Buffer {
		return this.#rest;
	}

	#getLastId(whole: Buffer): string | undefined {
		let last: string | undefined;
		for (const match of whole.toString('latin1').matchAll(ID_LINE)) {
			last = match.groups?.id;
		}

		return last?.trimEnd();
	}
}
