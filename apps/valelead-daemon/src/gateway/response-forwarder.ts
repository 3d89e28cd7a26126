import {Buffer} from 'node:buffer';
import {EventSplitter} from '@valelead/answer';
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
	readonly #onFirstEvent: () => void;

	/** @param onFirstEvent - Called immediately before the first event of a resumable stream is forwarded to the caller. */
	constructor(request: GatewayRequest, answer: ResponseHead, onFirstEvent: () => void) {
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

		const {bytes, lastEventId} = this.#splitter.addChunk(chunk);
		this.#request.lastEventId = lastEventId ?? this.#request.lastEventId;
		if (bytes.length > 0) {
			this.#write(bytes);
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

		this.#startOnce();
		const rest = this.#splitter?.rest;
		answer.end(rest && rest.length > 0 ? rest : undefined);
	}

	/** Sends the response head only with the first event, so that an attempt that fails earlier can be retried without a trace at the caller. */
	#write(bytes: Buffer): void {
		if (this.#splitter && !this.#request.answer.isStarted) {
			this.#onFirstEvent();
		}

		this.#startOnce();
		this.#request.answer.data(bytes);
	}

	#startOnce(): void {
		if (!this.#request.answer.isStarted) {
			this.#request.answer.start(this.#status, this.#headers, undefined);
		}
	}
}
