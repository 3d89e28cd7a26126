import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {RESULT_DETAILS} from '@valelead/common';
import {abortResponse} from '../abort-response.js';
import type {Refusal} from '../entry/refusal.js';
import {newRefusalBody} from '../entry/new-refusal-body.js';
import type {ResponseWriter} from './response-writer.js';

type AnswerParts = {
	readonly response: ServerResponse;
	readonly requestId: string;
	/** Returns true if the connection must be closed after this response. */
	readonly isLast: () => boolean;
};

/** The most response data that is buffered for one slow caller before its connection is reset, in bytes. */
const MAX_BUFFERED_BYTES = 1_048_576;

const MS_PER_SECOND = 1000;

/** Writes the response to one caller over HTTP: either the unchanged response of an upstream or an error response of the gateway. */
export class HttpResponseWriter implements ResponseWriter {
	readonly #parts: AnswerParts;
	#isEnded = false;

	constructor(parts: AnswerParts) {
		this.#parts = parts;
	}

	/** True once the status line has been written, after which no other response can be sent. */
	get isStarted(): boolean {
		return this.#parts.response.headersSent;
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	get isCallerDisconnected(): boolean {
		const {response} = this.#parts;
		return response.destroyed || response.socket?.readableEnded === true;
	}

	/**
	 * Writes the status and headers of an upstream's response.
	 * @param rawHeaders - Headers to forward, as name, value, name, value …
	 * @param length - The length of the body in bytes, or undefined if it is not known yet.
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
			abortResponse(response);
		}
	}

	end(chunk?: Buffer): void {
		this.#isEnded = true;
		this.#parts.response.end(chunk);
	}

	/** Sends an error response. A response that has already begun is aborted instead, so that the caller does not take it for complete. */
	refuse(refusal: Refusal): void {
		const {response, requestId} = this.#parts;
		this.#isEnded = true;
		if (response.destroyed) {
			return;
		}

		if (response.headersSent) {
			abortResponse(response);
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
