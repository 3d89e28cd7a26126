import {Buffer} from 'node:buffer';

/** A change of a file's content that has not been synced: bytes written at an offset, or a new length. */
type Change =
	| {readonly kind: 'write'; readonly offset: number; readonly bytes: Buffer}
	| {readonly kind: 'truncate'; readonly length: number};

const getChanged = (content: Buffer, change: Change): Buffer => {
	if (change.kind === 'truncate') {
		return Buffer.concat([content.subarray(0, change.length), Buffer.alloc(Math.max(0, change.length - content.length))]);
	}

	const changed = Buffer.alloc(Math.max(content.length, change.offset + change.bytes.length));
	content.copy(changed);
	change.bytes.copy(changed, change.offset);
	return changed;
};

/** Returns a part of a write: its beginning or its end, with zeros or the earlier content in place of the rest. */
const getTorn = (content: Buffer, change: Change, random: () => number): Buffer => {
	if (change.kind === 'truncate') {
		return content;
	}

	const cut = Math.floor(random() * change.bytes.length);
	const isBeginning = random() < 0.5;
	const offset = isBeginning ? change.offset : change.offset + cut;
	return getChanged(content, {kind: 'write', offset, bytes: isBeginning ? change.bytes.subarray(0, cut) : change.bytes.subarray(cut)});
};

/** The content of a simulated file. A loss of power keeps what was synced, and of each later change all, a part or nothing. */
export class FakeInode {
	#content: Buffer = Buffer.alloc(0);
	#synced: Buffer = Buffer.alloc(0);
	#changes: Change[] = [];

	get content(): Buffer {
		return Buffer.from(this.#content);
	}

	append(bytes: Buffer): void {
		this.#change({kind: 'write', offset: this.#content.length, bytes: Buffer.from(bytes)});
	}

	truncate(length: number): void {
		this.#change({kind: 'truncate', length});
	}

	sync(): void {
		this.#synced = this.#content;
		this.#changes = [];
	}

	/** @param isAllLost - True if none of the changes since the last sync is kept. */
	losePower(random: () => number, isAllLost: boolean): void {
		let content = this.#synced;
		for (const change of isAllLost ? [] : this.#changes) {
			const draw = random();
			if (draw < 1 / 3) {
				content = getChanged(content, change);
			} else if (draw < 2 / 3) {
				content = getTorn(content, change, random);
			}
		}

		this.#content = content;
		this.sync();
	}

	#change(change: Change): void {
		this.#content = getChanged(this.#content, change);
		this.#changes.push(change);
	}
}
