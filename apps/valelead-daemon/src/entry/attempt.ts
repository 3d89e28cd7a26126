import {Buffer} from 'node:buffer';
import {
	OUTCOME, type OutcomeValue, RESULT_CODE, type ResultCodeValue,
} from '@valelead/common';
import type {Frame} from '@valelead/protocol';
import type {ResponseSink} from './response-sink.js';

type AttemptEvents = {
	/** Called when the status of the response has arrived. Returns false to reject the response. */
	readonly onStart: (status: number) => boolean;
	readonly onData: () => void;
	readonly onEnd: () => void;
	readonly onFailure: (code: ResultCodeValue, outcome: OutcomeValue) => void;
	/** Called when the agent should stop working on the attempt. */
	readonly onCancel: () => void;
	/** Called when the lane closed before any frame arrived. Asks the agent whether the request was run. */
	readonly askOutcome: () => Promise<OutcomeValue>;
};

type AttemptParts = {
	readonly attemptId: string;
	readonly vm: string;
	readonly sink: ResponseSink;
	readonly maxBufferedBytes: number;
	readonly events: AttemptEvents;
};

const HTTP_SERVER_ERROR = 500;

/**
 * One attempt to serve a request through an agent. Frames must arrive in order and belong to this attempt. A response is complete
 * if the frame and byte counts in its last frame match the received frames.
 */
export class Attempt {
	readonly #parts: AttemptParts;
	#sequence = 0;
	#bytes = 0;
	#isEnded = false;

	constructor(parts: AttemptParts) {
		this.#parts = parts;
	}

	get vm(): string {
		return this.#parts.vm;
	}

	/** Cancels the attempt. Later frames are ignored. */
	cancel(): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.#parts.events.onCancel();
		}
	}

	handleFrame(frame: Frame): void {
		if (this.#isEnded) {
			return;
		}

		if (frame.attemptId !== this.#parts.attemptId || frame.sequence !== this.#sequence) {
			this.#abort(RESULT_CODE.AnswerCut, OUTCOME.Unknown);
			return;
		}

		this.#sequence += 1;
		this.#handlePart(frame.part);
	}

	/** Ends the attempt after its lane has closed. If no frame had arrived, the agent is asked, as it may confirm that the request did not run. */
	async handleLaneClosed(): Promise<void> {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		const outcome = this.#sequence === 0 ? await this.#parts.events.askOutcome() : OUTCOME.Unknown;
		const code = this.#sequence === 0 ? RESULT_CODE.AgentLost : RESULT_CODE.AnswerCut;
		this.#parts.events.onFailure(code, outcome);
	}

	#handlePart(part: Frame['part']): void {
		switch (part.case) {
			case 'start': {
				this.#handleStart(part.value.status, part.value.contentType);
				break;
			}

			case 'data': {
				this.#handleData(Buffer.from(part.value));
				break;
			}

			case 'end': {
				this.#handleEnd(part.value.frames, part.value.bytes);
				break;
			}

			case 'refusal': {
				this.#isEnded = true;
				this.#parts.events.onFailure(part.value.code as ResultCodeValue, part.value.outcome as OutcomeValue);
				break;
			}

			default: {
				this.#abort(RESULT_CODE.AnswerCut, OUTCOME.Unknown);
			}
		}
	}

	#handleStart(status: number, contentType: string): void {
		if (!this.#parts.events.onStart(status)) {
			const code = status >= HTTP_SERVER_ERROR ? RESULT_CODE.UpstreamFailed : RESULT_CODE.UpstreamRejected;
			this.#abort(code, OUTCOME.Unknown);
			return;
		}

		this.#parts.sink.start(status, contentType);
	}

	#handleData(chunk: Buffer): void {
		this.#bytes += chunk.length;
		if (!this.#parts.sink.isStream && this.#bytes > this.#parts.maxBufferedBytes) {
			this.#abort(RESULT_CODE.AnswerCut, OUTCOME.Unknown);
			return;
		}

		this.#parts.events.onData();
		this.#parts.sink.data(chunk);
	}

	#handleEnd(frames: number, bytes: number): void {
		if (frames !== this.#sequence - 1 || bytes !== this.#bytes) {
			this.#abort(RESULT_CODE.AnswerCut, OUTCOME.Unknown);
			return;
		}

		this.#isEnded = true;
		this.#parts.events.onEnd();
	}

	#abort(code: ResultCodeValue, outcome: OutcomeValue): void {
		this.cancel();
		this.#parts.events.onFailure(code, outcome);
	}
}
