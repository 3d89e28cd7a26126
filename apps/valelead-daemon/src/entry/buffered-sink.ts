import {Buffer} from 'node:buffer';
import type {ResponseSink} from './response-sink.js';
import type {Refusal} from './refusal.js';
import type {CompleteResponse} from './complete-response.js';

/** Buffers a response until it is complete, so that the caller never receives a partial response. */
export class BufferedSink implements ResponseSink {
	readonly #deliver: (response: CompleteResponse) => void;
	readonly #refuse: (refusal: Refusal) => void;
	#status = 0;
	#contentType = '';
	#chunks: Buffer[] = [];

	constructor(deliver: (response: CompleteResponse) => void, refuse: (refusal: Refusal) => void) {
		this.#deliver = deliver;
		this.#refuse = refuse;
	}

	get isStream(): boolean {
		return false;
	}

	start(status: number, contentType: string): void {
		this.#status = status;
		this.#contentType = contentType;
		this.#chunks = [];
	}

	data(chunk: Buffer): void {
		this.#chunks.push(chunk);
	}

	end(): void {
		this.#deliver({status: this.#status, contentType: this.#contentType, body: Buffer.concat(this.#chunks)});
	}

	refuse(refusal: Refusal): void {
		this.#refuse(refusal);
	}
}
