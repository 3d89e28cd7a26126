import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {EventSplitter, isEventStream} from '@valelead/answer';
import type {TimerService, TimerSubscription} from '@valelead/common';
import {abortResponse} from '../abort-response.js';
import {newRefusalBody} from './new-refusal-body.js';
import {writeRefusal} from './write-refusal.js';
import type {ResponseSink} from './response-sink.js';
import type {Refusal} from './refusal.js';

/** The most bytes that an entry buffers for one slow caller. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Streams a response to the caller as it arrives. A truncated response ends with an error event, so that it cannot be taken as complete. */
export class StreamSink implements ResponseSink {
	readonly #response: ServerResponse;
	readonly #requestId: string;
	readonly #timers: TimerService;
	readonly #stallMs: number;
	/** Holds back an incomplete event, because an error event may follow. Undefined if the response is not an event stream. */
	#splitter: EventSplitter | undefined;
	#stallTimer: TimerSubscription | undefined;

	constructor(response: ServerResponse, requestId: string, timers: TimerService, stallMs: number) {
		this.#response = response;
		this.#requestId = requestId;
		this.#timers = timers;
		this.#stallMs = stallMs;
	}

	get isStream(): boolean {
		return true;
	}

	start(status: number, contentType: string): void {
		this.#splitter = isEventStream(contentType) ? new EventSplitter() : undefined;
		this.#response.writeHead(status, {'content-type': contentType, 'x-request-id': this.#requestId, 'cache-control': 'no-cache'});
	}

	/** Sends a chunk. Aborts the response if the caller reads too slowly, to bound the memory that is used for it. */
	data(chunk: Buffer): void {
		const bytes = this.#splitter ? this.#splitter.addChunk(chunk).bytes : chunk;
		if (this.#response.destroyed || bytes.length === 0 || this.#response.write(bytes)) {
			return;
		}

		if (this.#response.writableLength > MAX_BUFFERED_BYTES) {
			abortResponse(this.#response);
			return;
		}

		this.#startStallTimer();
	}

	end(): void {
		this.#response.end(this.#splitter?.rest);
	}

	refuse(refusal: Refusal): void {
		if (!this.#response.headersSent) {
			writeRefusal(this.#response, refusal, this.#requestId);
			return;
		}

		this.#response.end(`event: error\ndata: ${newRefusalBody(refusal, this.#requestId)}\n\n`);
	}

	#startStallTimer(): void {
		if (this.#stallTimer) {
			return;
		}

		this.#stallTimer = this.#timers.after(this.#stallMs, () => {
			abortResponse(this.#response);
		});
		this.#response.once('drain', () => {
			this.#stallTimer?.cancel();
			this.#stallTimer = undefined;
		});
	}
}
