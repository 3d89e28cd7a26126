import {Buffer} from 'node:buffer';
import {type CompleteEvents, EventSplitter} from '@valelead/answer';
import {ROUTE_KIND} from '@valelead/routing';
import {getForwardedHeaders} from './get-forwarded-headers.js';
import type {ResponseHead} from './response-head.js';
import type {GatewayRequest} from './gateway-request.js';

const HTTP_OK = 200;

/** Forwards an upstream's response to the caller. Streams are forwarded as they arrive; other responses are buffered until they are complete. */
export class ResponseForwarder {
	readonly #request: GatewayRequest;
	readonly #status: number;
	readonly #headers: readonly string[];
	readonly #splitter: EventSplitter | undefined;
	readonly #isStream: boolean;
	readonly #chunks: Buffer[] = [];
	readonly #onFirstEvent: (forward: () => void) => void;
	/** Events that are held back until the first of them may be forwarded; undefined if none are. */
	#held: CompleteEvents[] | undefined;

	/** @param onFirstEvent - Called with the first event of a resumable stream, which is forwarded to the caller once `forward` is called. */
	constructor(request: GatewayRequest, answer: ResponseHead, onFirstEvent: (forward: () => void) => void) {
		const {route} = request;
		this.#request = request;
		this.#onFirstEvent = onFirstEvent;
		this.#status = answer.statusCode ?? 0;
		this.#headers = getForwardedHeaders(answer.rawHeaders);
		this.#isStream = route.kind === ROUTE_KIND.Stream && this.#status === HTTP_OK;
		this.#splitter = this.#isStream && route.isResumable ? new EventSplitter(request.answer.isStarted) : undefined;
	}

	data(chunk: Buffer): void {
		if (!this.#isStream) {
			this.#chunks.push(chunk);
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
	}

	/** Forwards the end of a complete response. */
	end(): void {
		const {answer} = this.#request;
		if (!this.#isStream) {
			const body = Buffer.concat(this.#chunks);
			answer.start(this.#status, this.#headers, body.length);
			answer.end(body);
			return;
		}

		this.#forwardHeld();
		this.#startOnce();
		const rest = this.#splitter?.rest;
		answer.end(rest && rest.length > 0 ? rest : undefined);
	}

	#addEvents(events: CompleteEvents): void {
		if (this.#held) {
			this.#held.push(events);
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
		for (const events of held) {
			this.#forwardEvents(events);
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
