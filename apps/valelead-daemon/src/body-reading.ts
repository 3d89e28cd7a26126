import {Buffer} from 'node:buffer';
import {CHUNK_OVERHEAD_BYTES} from './chunk-overhead-bytes.js';

/** Chunks that are joined to one, so that a body that arrives byte by byte occupies little more than its length. */
const CHUNKS_TO_JOIN = 64;

/** The part of a body that has arrived. */
export class BodyReading {
	length = 0;
	readonly #joined: Buffer[] = [];
	#chunks: Buffer[] = [];

	/** @param fail - Ends the reading with an error. */
	constructor(readonly fail: (error: Error) => void) {}

	/** The memory that the chunks occupy, in bytes. */
	get heldBytes(): number {
		return this.length + ((this.#joined.length + this.#chunks.length) * CHUNK_OVERHEAD_BYTES);
	}

	add(chunk: Buffer): void {
		this.length += chunk.length;
		this.#chunks.push(chunk);
		if (this.#chunks.length === CHUNKS_TO_JOIN) {
			this.#joined.push(Buffer.concat(this.#chunks));
			this.#chunks = [];
		}
	}

	/** Frees the memory of the chunks. The listeners of a request refer to its reading for as long as the connection is open. */
	clear(): void {
		this.length = 0;
		this.#joined.length = 0;
		this.#chunks = [];
	}

	/** Returns the whole body. */
	newBody(): Buffer {
		const chunks = [...this.#joined, ...this.#chunks];
		return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
	}
}
