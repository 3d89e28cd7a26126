import type {Buffer} from 'node:buffer';
import {
	type ClientRequest, type IncomingMessage, request as newHttpRequest,
} from 'node:http';
import type {Socket} from 'node:net';
import {
	RESPONSE_DEFECT, RESPONSE_FRAMING, ReceivedResponse, getResponseFraming,
} from '@valelead/answer';
import {
	type TimerService, abortRequest, isFinalStatus, limitInterimResponses, OUTCOME, RESULT_CODE, type ResultCodeValue,
} from '@valelead/common';
import {SUSPECT_PHASE, type SuspectPhaseValue} from '@valelead/quarantine';
import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';
import {CONNECTION_STATE} from './connection-state.js';
import {discardRest} from './discard-rest.js';
import {getConnectionState} from './get-connection-state.js';
import {newAttemptFailure} from './new-attempt-failure.js';
import type {AttemptOptions} from './attempt-options.js';
import type {ConnectionStateValue} from './connection-state-value.js';
import type {SentAttempt} from './sent-attempt.js';

const BODYLESS_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE']);

/** One attempt to send a request to an upstream over HTTP. */
export class UpstreamAttempt implements SentAttempt {
	readonly #parts: AttemptOptions;
	readonly #timers: TimerService;
	#request: ClientRequest;
	/** True if bytes of the request may have been sent. */
	#isSent = false;
	#isAnswered = false;
	#hasBody = false;
	#isOver = false;
	#answer: IncomingMessage | undefined;
	/** The number of bytes in the last read from the connection, until the response begins. */
	#lastReadBytes = 0;

	constructor(parts: AttemptOptions, timers: TimerService) {
		this.#parts = parts;
		this.#timers = timers;
		this.#request = this.#send();
	}

	get requestId(): string {
		return this.#parts.requestId;
	}

	get upstreamId(): string {
		return this.#parts.upstreamId;
	}

	get startedAt(): number {
		return this.#parts.startedAt;
	}

	/** True once the connection is established, so that bytes of the request may have been sent. */
	get isSent(): boolean {
		return this.#isSent;
	}

	get isAnswered(): boolean {
		return this.#isAnswered;
	}

	get isConnectionReused(): boolean {
		return this.#request.reusedSocket;
	}

	/** Stops reading the response, so that the upstream can send no more than fits into the buffers of the operating system. */
	pause(): void {
		this.#answer?.pause();
	}

	resume(): void {
		this.#answer?.resume();
	}

	/** Ends the attempt and its connection without calling any callback. */
	cancel(): void {
		this.#isOver = true;
		abortRequest(this.#request);
	}

	/** Ends the attempt and its connection, and reports the given failure. */
	fail(code: ResultCodeValue, reason: string, connection: ConnectionStateValue = CONNECTION_STATE.Intact): void {
		this.#end(() => {
			this.#parts.events.onFailure({
				code: this.#isSent ? code : RESULT_CODE.UpstreamUnreachable,
				outcome: this.#isSent ? OUTCOME.Unknown : OUTCOME.NotRun,
				reason,
				connection,
				phase: this.#phase,
			});
		});
		abortRequest(this.#request);
	}

	get #phase(): SuspectPhaseValue {
		if (this.#hasBody) {
			return SUSPECT_PHASE.Running;
		}

		return this.#isAnswered ? SUSPECT_PHASE.Begun : SUSPECT_PHASE.Unanswered;
	}

	#send(): ClientRequest {
		const {
			requestId, address, agent, method, url, headers, body,
		} = this.#parts;
		const hasBody = body.length > 0 || !BODYLESS_METHODS.has(method);
		const request = newHttpRequest({
			host: getHost(address),
			port: getPort(address),
			method,
			path: url,
			agent,
			headers: [...headers, ...(hasBody ? ['content-length', String(body.length)] : [])] as never,
		});
		request.on('socket', socket => {
			if (!agent.assign(socket, requestId)) {
				// Nothing has been written yet: a request is written after this event.
				this.#request = this.#send();
				request.destroy();
				return;
			}

			this.#noteReads(socket, request);
			if (!socket.connecting) {
				this.#isSent = true;
				return;
			}

			socket.once('connect', () => {
				this.#isSent = true;
			});
		});
		limitInterimResponses(request, reason => {
			this.fail(RESULT_CODE.AnswerTooLarge, reason);
		});
		request.on('response', answer => {
			this.#takeAnswer(answer);
		});
		request.on('error', error => {
			if (request !== this.#request) {
				return;
			}

			this.fail(this.#isAnswered ? RESULT_CODE.AnswerCut : RESULT_CODE.UpstreamFailed, error.message, getConnectionState(error));
		});
		request.end(body);
		return request;
	}

	#noteReads(socket: Socket, request: ClientRequest): void {
		const noteRead = (chunk: Buffer): void => {
			this.#lastReadBytes = chunk.length;
		};

		const ignoreReads = (): void => {
			socket.off('data', noteRead);
		};

		// This listener must run before that of Node's HTTP client, which reports the response.
		socket.prependListener('data', noteRead);
		request.once('response', ignoreReads);
		request.once('close', ignoreReads);
	}

	#takeAnswer(answer: IncomingMessage): void {
		const {codec, requestId, events} = this.#parts;
		const head = codec.decodeAnswer(answer.statusCode ?? 0, answer.headers);
		this.#isAnswered = true;
		// A late response to another request, even a rejection, states nothing about this one.
		if (head.requestId !== requestId) {
			this.fail(RESULT_CODE.InvalidAnswer, `an answer to request ${head.requestId}`);
			return;
		}

		if (!isFinalStatus(answer.statusCode ?? 0)) {
			this.fail(RESULT_CODE.InvalidAnswer, `status ${answer.statusCode}`);
			return;
		}

		if (!head.isOtherUpstream) {
			events.onLimit(head.limitPerSecond);
		}

		if (head.isNotExecuted) {
			discardRest(this.#request, answer, this.#timers);
			this.#end(() => {
				const code = head.isOtherUpstream ? RESULT_CODE.UpstreamLeaving : RESULT_CODE.UpstreamRejected;
				events.onFailure(newAttemptFailure(code, OUTCOME.NotRun, `status ${answer.statusCode}`));
			});
			return;
		}

		if (this.#isOver || !events.onHead(answer)) {
			// The failure has been handled, so that closing the connection must not be reported as another one.
			this.#isOver = true;
			discardRest(this.#request, answer, this.#timers);
			return;
		}

		if (this.#isBodyless(answer)) {
			// Node.js waits for a body where the head of a response without one names a length or chunks.
			discardRest(this.#request, answer, this.#timers);
			this.#end(events.onEnd);
			return;
		}

		this.#answer = answer;
		this.#pass(answer);
	}

	#isBodyless({statusCode, headers}: IncomingMessage): boolean {
		return getResponseFraming({method: this.#parts.method, status: statusCode ?? 0, headers}) === RESPONSE_FRAMING.Bodyless;
	}

	#pass(answer: IncomingMessage): void {
		const received = new ReceivedResponse(answer, this.#parts.method, this.#lastReadBytes);
		answer.on('data', (chunk: Buffer) => {
			received.addChunk(chunk);
			this.#hasBody = true;
			if (!this.#isOver) {
				this.#parts.events.onData(chunk);
			}
		});
		answer.on('end', () => {
			const defect = received.getDefect();
			if (defect === undefined) {
				this.#end(this.#parts.events.onEnd);
			} else {
				this.fail(RESULT_CODE.AnswerCut, defect, received.isConnectionEnded ? CONNECTION_STATE.Broken : CONNECTION_STATE.Intact);
			}
		});
		answer.on('error', error => {
			this.fail(RESULT_CODE.AnswerCut, error.message, getConnectionState(error));
		});
		answer.on('close', () => {
			this.fail(RESULT_CODE.AnswerCut, RESPONSE_DEFECT.Incomplete, CONNECTION_STATE.Broken);
		});
	}

	#end(notify: () => void): void {
		if (!this.#isOver) {
			this.#isOver = true;
			notify();
		}
	}
}
