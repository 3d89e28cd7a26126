import {Buffer} from 'node:buffer';
import {type CompleteEvents, EventSplitter} from '@valelead/answer';
import {ROUTE_KIND} from '@valelead/routing';
import {CHUNK_OVERHEAD_BYTES} from '../chunk-overhead-bytes.js';
import {getForwardedHeaders} from './get-forwarded-headers.js';
import type {ResponseHead} from './response-head.js';
import type {GatewayRequest} from './gateway-request.js';

const HTTP_OK = 200;

/** The largest event of a resumable stream, in bytes. An event holds some tokens; the largest ones, with a whole response, stay far below. */
const MAX_EVENT_BYTES = 1_048_576;

/** Bytes of events that wait for the recording of the stream's origin, above which the upstream is paused. */
const MAX_WAITING_BYTES = 65_536;

/** Forwards an upstream's response to the caller. Streams are forwarded as they arrive; other responses are buffered until they are complete. */
export class ResponseForwarder {
	readonly #request: GatewayRequest;
	readonly #status: number;
	readonly #headers: readonly string[];
	readonly #splitter: EventSplitter | undefined;
	readonly #isStream: boolean;
	#chunks: Buffer[] = [];
	#chunkBytes = 0;
	readonly #onFirstEvent: (forward: () => void) => void;
	/** Events that are held back until the first of them may be forwarded; undefined if none are. */
	#held: CompleteEvents[] | undefined;
	#waitingBytes = 0;
	#countedBytes = 0;
	readonly #onExcess: (reason: string) => void;
	#notifyWritable: (() => void) | undefined;

	/**
	 * @param onFirstEvent - Called with the first event of a resumable stream, which is forwarded to the caller once `forward` is called.
	 * @param onExcess - Called with the reason if the response is larger than may be buffered; the attempt must fail then.
	 */
	constructor(request: GatewayRequest, answer: ResponseHead, onFirstEvent: (forward: () => void) => void, onExcess: (reason: string) => void = () => undefined) {
		const {route} = request;
		this.#request = request;
		this.#onFirstEvent = onFirstEvent;
		this.#onExcess = onExcess;
		this.#status = answer.statusCode ?? 0;
		this.#headers = getForwardedHeaders(answer.rawHeaders);
		this.#isStream = route.kind === ROUTE_KIND.Stream && this.#status === HTTP_OK;
		this.#splitter = this.#isStream && route.isResumable ? new EventSplitter(request.answer.isStarted) : undefined;
	}

	/** True if the upstream must be paused, as the caller or the recording of the stream's origin is slower. */
	get isFull(): boolean {
		return this.#waitingBytes > MAX_WAITING_BYTES || this.#request.answer.isFull === true;
	}

	/** Calls the function once, when the forwarder is no longer full. */
	onceWritable(notify: () => void): void {
		if (this.#waitingBytes > MAX_WAITING_BYTES) {
			this.#notifyWritable = notify;
		} else {
			this.#request.answer.onceWritable?.(notify);
		}
	}

	data(chunk: Buffer): void {
		if (!this.#isStream) {
			this.#chunks.push(chunk);
			this.#chunkBytes += chunk.length + CHUNK_OVERHEAD_BYTES;
			this.#count();
			return;
		}

		if (!this.#splitter) {
			this.#write(chunk);
			return;
		}

		const events = this.#splitter.addChunk(chunk);
		if (events.bytes.length > 0) {
			this.#addEvents(events);
		}

		if (this.#splitter.restBytes > MAX_EVENT_BYTES) {
			this.#onExcess(`an event of more than ${MAX_EVENT_BYTES} bytes`);
			return;
		}

		this.#count();
	}

	/** Frees what is buffered after the attempt has failed. */
	release(): void {
		this.#chunks = [];
		this.#chunkBytes = 0;
		this.#held = undefined;
		this.#waitingBytes = 0;
		this.#request.answer.hold?.(0, this.#onExcess);
	}

	/** Forwards the end of a complete response. */
	end(): void {
		const {answer} = this.#request;
		if (!this.#isStream) {
			this.#endBuffered();
			return;
		}

		this.#forwardHeld();
		this.#startOnce();
		const rest = this.#splitter?.rest;
		answer.end(rest && rest.length > 0 ? rest : undefined);
	}

	/** Passes on a buffered response. Its chunks are not joined, as that would take the memory of the response twice. */
	#endBuffered(): void {
		const {answer} = this.#request;
		const chunks = this.#chunks;
		this.release();
		let length = 0;
		for (const chunk of chunks) {
			length += chunk.length;
		}

		answer.start(this.#status, this.#headers, length);
		const last = chunks.pop();
		for (const chunk of chunks) {
			answer.data(chunk);
		}

		answer.end(last ?? Buffer.alloc(0));
	}

	/** Reports the memory of what is buffered. */
	#count(): void {
		const restBytes = this.#splitter ? this.#splitter.restBytes + (this.#splitter.restChunks * CHUNK_OVERHEAD_BYTES) : 0;
		const bytes = this.#chunkBytes + this.#waitingBytes + restBytes;
		if (bytes !== this.#countedBytes) {
			this.#countedBytes = bytes;
			this.#request.answer.hold?.(bytes, this.#onExcess);
		}
	}

	#addEvents(events: CompleteEvents): void {
		if (this.#held) {
			this.#held.push(events);
			this.#waitingBytes += events.bytes.length + CHUNK_OVERHEAD_BYTES;
			return;
		}

		if (this.#request.hasForwardedEvents || !events.hasEvents) {
			this.#forwardEvents(events);
			return;
		}

		this.#held = [events];
		this.#onFirstEvent(() => {
			this.#forwardHeld();
		});
	}

	#forwardHeld(): void {
		const held = this.#held ?? [];
		this.#held = undefined;
		this.#waitingBytes = 0;
		for (const events of held) {
			this.#forwardEvents(events);
		}

		const notify = this.#notifyWritable;
		this.#notifyWritable = undefined;
		if (notify && this.#request.answer.isFull === true) {
			this.#request.answer.onceWritable?.(notify);
		} else {
			notify?.();
		}
	}

	#forwardEvents({bytes, hasEvents, lastEventId}: CompleteEvents): void {
		this.#request.hasForwardedEvents ||= hasEvents;
		this.#request.lastEventId = lastEventId ?? this.#request.lastEventId;
		this.#write(bytes);
	}

	/** Sends the response head only with the first event, so that an attempt that fails earlier can be retried without a trace at the caller. */
	#write(bytes: Buffer): void {
		this.#startOnce();
		this.#request.answer.data(bytes);
	}

	#startOnce(): void {
		if (!this.#request.answer.isStarted) {
			this.#request.answer.start(this.#status, this.#headers, undefined);
		}
	}
}
