import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {RESPONSE_FRAMING} from './response-framing.js';
import {EventScanner} from './event-scanner.js';
import {getResponseDefect} from './get-response-defect.js';
import {getResponseFraming} from './get-response-framing.js';
import {isEventStream} from './is-event-stream.js';
import type {ResponseDefectValue} from './response-defect-value.js';
import type {ResponseFramingValue} from './response-framing-value.js';

/** The most bytes that Node.js reads from a connection at once. */
const FULL_READ_BYTES = 65_536;

/** Returns true if the body is an event stream whose lines can be read, that is, one without a content coding such as gzip. */
const isPlainEventStream = (headers: IncomingHttpHeaders): boolean => isEventStream(headers['content-type'] ?? '')
	&& (headers['content-encoding'] ?? 'identity').toLowerCase() === 'identity';

/**
 * Follows an upstream's response and determines whether it was complete when it ended. It must be created in the event-loop iteration in which
 * the head of the response arrived.
 *
 * If a connection reset arrives together with data, Node reports it as a normal end in the same event-loop iteration as the data. A
 * connection that was really closed is reported in a later iteration, unless the last read filled its buffer: then Node.js reads again at once, and gets the
 * end of a closed connection or the error of a reset one. For a response that is delimited only by the end of its connection, this is the only way to
 * distinguish the two.
 */
export class ReceivedResponse {
	readonly #message: IncomingMessage;
	readonly #framing: ResponseFramingValue;
	readonly #events: EventScanner | undefined;
	/** True if bytes arrived in the current event-loop iteration, with a read that did not fill its buffer. */
	#hasNewData = false;
	#isEndedWithData = false;

	/**
	 * @param method - The HTTP method of the request.
	 * @param headReadBytes - The number of bytes in the read with which the head arrived; 0 if it is not known.
	 */
	constructor(message: IncomingMessage, method: string, headReadBytes = 0) {
		const {statusCode, headers} = message;
		this.#message = message;
		this.#framing = getResponseFraming({method, status: statusCode ?? 0, headers});
		this.#events = isPlainEventStream(headers) ? new EventScanner() : undefined;
		if (this.#framing === RESPONSE_FRAMING.Connection) {
			this.#watchConnection(headReadBytes);
		}
	}

	/** True if the connection has ended with the response, whether or not the response is complete. */
	get isConnectionEnded(): boolean {
		return this.#framing === RESPONSE_FRAMING.Connection || !this.#message.complete;
	}

	/** Reads the next bytes of the body. */
	addChunk(chunk: Buffer): void {
		this.#events?.scan(chunk);
	}

	/** Returns the reason why the response is incomplete, or undefined if it is complete. It must be called after all bytes were read. */
	getDefect(): ResponseDefectValue | undefined {
		return getResponseDefect({
			framing: this.#framing, isComplete: this.#message.complete, isEndedWithData: this.#isEndedWithData, events: this.#events,
		});
	}

	#watchConnection(headReadBytes: number): void {
		const {socket} = this.#message;
		this.#noteRead(headReadBytes);
		socket.on('data', (chunk: Buffer) => {
			this.#noteRead(chunk.length);
		});
		// This listener must run before that of Node's HTTP client, which ends the response.
		socket.prependOnceListener('end', () => {
			this.#isEndedWithData = this.#hasNewData;
		});
	}

	#noteRead(bytes: number): void {
		this.#hasNewData = bytes < FULL_READ_BYTES;
		setImmediate(() => {
			this.#hasNewData = false;
		});
	}
}
