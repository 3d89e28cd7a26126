import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {RESULT_DETAILS} from '@valelead/common';
import {abortResponse} from '../abort-response.js';
import type {Refusal} from '../entry/refusal.js';
import {newRefusalBody} from '../entry/new-refusal-body.js';
import type {HeldResponse} from './held-response.js';
import type {HeldResponses} from './held-responses.js';
import type {ResponseWriter} from './response-writer.js';

type AnswerParts = {
	readonly response: ServerResponse;
	readonly requestId: string;
	/** Returns true if the connection must be closed after this response. */
	readonly isLast: () => boolean;
	/** Bounds the memory of all responses; absent if only the limit of one stream applies. */
	readonly held?: HeldResponses;
};

/**
 * The most data of a stream that is buffered for one slow caller before its connection is reset, in bytes. The upstream is paused long before; only a
 * single event of the largest size, and what arrived with it, comes near.
 */
const MAX_BUFFERED_BYTES = 2_097_152;

const MS_PER_SECOND = 1000;

/** Status codes of responses without a body, 204 No Content and 304 Not Modified: a caller may wait for as many bytes as their heads name. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Writes the response to one caller over HTTP: either the unchanged response of an upstream or an error response of the gateway. */
export class HttpResponseWriter implements ResponseWriter, HeldResponse {
	readonly #parts: AnswerParts;
	#isEnded = false;
	/** True if the length of the body was unknown when the response began. */
	#isStream = false;
	/** Data that is written once the caller has read the data before it. */
	#queue: Buffer[] = [];
	#queuedBytes = 0;
	/** Bytes that the forwarder buffers for this response. */
	#bufferedBytes = 0;
	#onExcess: ((reason: string) => void) | undefined;
	#sentBytes = 0;
	#isFull = false;
	#isEndWritten = false;
	#notifyWritable: (() => void) | undefined;

	constructor(parts: AnswerParts) {
		this.#parts = parts;
		parts.response.on('drain', () => {
			this.#drain();
		});
		parts.response.on('close', () => {
			this.#queue = [];
			this.#queuedBytes = 0;
			this.#bufferedBytes = 0;
			parts.held?.set(this, 0);
		});
	}

	get requestId(): string {
		return this.#parts.requestId;
	}

	get isFull(): boolean {
		return this.#isFull;
	}

	get maxHeldBytes(): number {
		return this.#parts.held?.maxResponseBytes ?? Number.POSITIVE_INFINITY;
	}

	get sentBytes(): number | undefined {
		const {response} = this.#parts;
		// A response without a socket waits for an earlier one on its connection.
		return this.#waitingBytes > 0 && response.socket ? this.#sentBytes : undefined;
	}

	onceWritable(notify: () => void): void {
		if (this.#isFull) {
			this.#notifyWritable = notify;
		} else {
			notify();
		}
	}

	hold(bytes: number, onExcess: (reason: string) => void): void {
		this.#bufferedBytes = bytes;
		this.#onExcess = onExcess;
		this.#count();
	}

	endHeld(reason: string): void {
		if (this.#bufferedBytes > this.#waitingBytes) {
			this.#onExcess?.(reason);
		} else {
			abortResponse(this.#parts.response);
		}
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
		this.#isStream = length === undefined;
		const headers = [...rawHeaders];
		if (length !== undefined && !BODYLESS_STATUSES.has(status)) {
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

		this.#queue.push(chunk);
		this.#queuedBytes += chunk.length;
		this.#write();
		if (this.#isStream && this.#waitingBytes > MAX_BUFFERED_BYTES) {
			abortResponse(response);
		}
	}

	end(chunk?: Buffer): void {
		this.#isEnded = true;
		if (chunk) {
			this.#queue.push(chunk);
			this.#queuedBytes += chunk.length;
		}

		this.#write();
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

	/** Bytes that have been written and that the caller has not read. */
	get #waitingBytes(): number {
		return this.#queuedBytes + this.#parts.response.writableLength;
	}

	/** Hands data to Node.js until its buffer is full. The rest follows in parts, so that it shows whether the caller reads. */
	#write(): void {
		const {response} = this.#parts;
		while (!this.#isFull && !response.destroyed && this.#queue.length > 0) {
			const chunk = this.#queue.shift()!;
			this.#queuedBytes -= chunk.length;
			const noteSent = (): void => {
				this.#sentBytes += chunk.length;
				this.#count();
			};

			if (this.#isEnded && this.#queue.length === 0) {
				this.#isEndWritten = true;
				response.end(chunk, noteSent);
			} else {
				this.#isFull = !response.write(chunk, noteSent);
			}
		}

		if (this.#isEnded && this.#queue.length === 0 && !this.#isEndWritten) {
			this.#isEndWritten = true;
			response.end();
		}

		this.#count();
	}

	#drain(): void {
		this.#isFull = false;
		this.#write();
		if (!this.#isFull) {
			const notify = this.#notifyWritable;
			this.#notifyWritable = undefined;
			notify?.();
		}
	}

	#count(): void {
		const {response, held} = this.#parts;
		held?.set(this, response.destroyed ? 0 : this.#bufferedBytes + this.#waitingBytes);
	}
}
