import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {RESULT_DETAILS} from '@valelead/common';
import {breakOff} from '../break-off.js';
import type {Refusal} from '../entry/refusal.js';
import {newRefusalBody} from '../entry/new-refusal-body.js';
import type {Answer} from './answer.js';

type AnswerParts = {
	readonly response: ServerResponse;
	readonly requestId: string;
	/** Whether the connection must end after this answer. */
	readonly isLast: () => boolean;
};

/** What is held for one slow caller at most, in bytes. */
const MAX_BUFFERED_BYTES = 1_048_576;

const MS_PER_SECOND = 1000;

/** The answer to one caller: an upstream's, unchanged, or a refusal of the gateway's own. */
export class CallerAnswer implements Answer {
	readonly #parts: AnswerParts;
	#isEnded = false;

	constructor(parts: AnswerParts) {
		this.#parts = parts;
	}

	/** Whether the status has been written, so that another answer is no longer possible. */
	get isStarted(): boolean {
		return this.#parts.response.headersSent;
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	get isCallerGone(): boolean {
		const {response} = this.#parts;
		return response.destroyed || response.socket?.readableEnded === true;
	}

	/**
	 * Writes the head of an upstream's answer.
	 * @param rawHeaders - Headers that go on, as name, value, name, value …
	 * @param length - The length of the body in bytes, or undefined where it is not known yet.
	 */
	start(status: number, rawHeaders: readonly string[], length: number | undefined): void {
		const {response} = this.#parts;
		const headers = [...rawHeaders];
		if (length !== undefined) {
			headers.push('content-length', String(length));
		}

		if (this.#parts.isLast()) {
			headers.push('connection', 'close');
		}

		response.writeHead(status, headers);
	}

	data(chunk: Buffer): void {
		const {response} = this.#parts;
		if (response.destroyed) {
			return;
		}

		response.write(chunk);
		if (response.writableLength > MAX_BUFFERED_BYTES) {
			breakOff(response);
		}
	}

	end(chunk?: Buffer): void {
		this.#isEnded = true;
		this.#parts.response.end(chunk);
	}

	/** Gives the final answer where no upstream's can be given. An answer that has begun is broken off, so that it does not look whole. */
	refuse(refusal: Refusal): void {
		const {response, requestId} = this.#parts;
		this.#isEnded = true;
		if (response.destroyed) {
			return;
		}

		if (response.headersSent) {
			breakOff(response);
			return;
		}

		const body = newRefusalBody(refusal, requestId);
		const headers = [
			'content-type', 'application/json', 'content-length', String(body.length), 'x-request-id', requestId,
		];
		if (refusal.retryAfterMs > 0) {
			headers.push('retry-after', String(refusal.retryAfterMs / MS_PER_SECOND));
		}

		if (this.#parts.isLast()) {
			headers.push('connection', 'close');
		}

		response.writeHead(RESULT_DETAILS[refusal.code].status, headers);
		response.end(body);
	}
}
