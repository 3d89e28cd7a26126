import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {ANSWER_FRAMING} from './answer-framing.js';
import {EventScanner} from './event-scanner.js';
import {getAnswerDefect} from './get-answer-defect.js';
import {getAnswerFraming} from './get-answer-framing.js';
import {isEventStream} from './is-event-stream.js';
import type {AnswerDefectValue} from './answer-defect-value.js';
import type {AnswerFramingValue} from './answer-framing-value.js';

/** The lines of a compressed stream cannot be seen. */
const isPlainEventStream = (headers: IncomingHttpHeaders): boolean => isEventStream(headers['content-type'] ?? '')
	&& (headers['content-encoding'] ?? 'identity').toLowerCase() === 'identity';

/**
 * Watches how an upstream's answer ends. Made in the turn of the event loop in which its head came.
 *
 * Node reports a reset that arrives together with bytes as an orderly end, in the same turn of the event loop; an orderly end comes in
 * a later turn. Where only the end of the connection ends the answer, the turn is all that tells the two apart.
 */
export class ReceivedAnswer {
	readonly #message: IncomingMessage;
	readonly #framing: AnswerFramingValue;
	readonly #events: EventScanner | undefined;
	/** Whether bytes came in the present turn of the event loop. */
	#isFresh = false;
	#isEndWithBytes = false;

	/** @param method - Of the request. */
	constructor(message: IncomingMessage, method: string) {
		const {statusCode, headers} = message;
		this.#message = message;
		this.#framing = getAnswerFraming({method, status: statusCode ?? 0, headers});
		this.#events = isPlainEventStream(headers) ? new EventScanner() : undefined;
		if (this.#framing === ANSWER_FRAMING.Connection) {
			this.#watchConnection();
		}
	}

	/** Whether the connection has ended with the answer, whole or not. */
	get isConnectionOver(): boolean {
		return this.#framing === ANSWER_FRAMING.Connection || !this.#message.complete;
	}

	/** Takes the next bytes of the body. */
	take(chunk: Buffer): void {
		this.#events?.take(chunk);
	}

	/** Why the answer, all of whose bytes were taken, is not whole; undefined where it is. */
	getDefect(): AnswerDefectValue | undefined {
		return getAnswerDefect({
			framing: this.#framing, isComplete: this.#message.complete, isEndWithBytes: this.#isEndWithBytes, events: this.#events,
		});
	}

	#watchConnection(): void {
		const {socket} = this.#message;
		this.#noteFresh();
		socket.on('data', () => {
			this.#noteFresh();
		});
		// Before the listener of Node's HTTP client, which ends the answer.
		socket.prependOnceListener('end', () => {
			this.#isEndWithBytes = this.#isFresh;
		});
	}

	#noteFresh(): void {
		this.#isFresh = true;
		setImmediate(() => {
			this.#isFresh = false;
		});
	}
}
