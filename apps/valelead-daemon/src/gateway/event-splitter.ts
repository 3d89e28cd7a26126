import {Buffer} from 'node:buffer';

/** What a chunk added: bytes up to the end of the last whole event, and that event's id. */
type WholeEvents = {
	readonly bytes: Buffer;
	/** Undefined where no event with an id has come yet. */
	readonly lastEventId: string | undefined;
};

const EVENT_END = '\n\n';
const ID_LINE = /^id: ?(?<id>.*)$/gmv;

/** Cuts a stream of events into whole ones, so that a broken stream can go on after the last of them. */
export class EventSplitter {
	#rest: Buffer = Buffer.alloc(0);

	take(chunk: Buffer): WholeEvents {
		const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		const end = bytes.lastIndexOf(EVENT_END);
		if (end === -1) {
			this.#rest = bytes;
			return {bytes: Buffer.alloc(0), lastEventId: undefined};
		}

		const whole = bytes.subarray(0, end + EVENT_END.length);
		this.#rest = bytes.subarray(whole.length);
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
