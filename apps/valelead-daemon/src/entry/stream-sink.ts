import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {TimerService} from '@valelead/common';
import {newRefusalBody} from './new-refusal-body.js';
import {writeRefusal} from './write-refusal.js';
import type {AnswerSink} from './answer-sink.js';
import type {Refusal} from './refusal.js';

/** Passes an answer on as it comes. An answer that breaks off ends in an error event, never as if it were whole. */
export class StreamSink implements AnswerSink {
	readonly #response: ServerResponse;
	readonly #requestId: string;
	readonly #timers: TimerService;
	readonly #stallMs: number;

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
		this.#response.writeHead(status, {'content-type': contentType, 'x-request-id': this.#requestId, 'cache-control': 'no-cache'});
	}

	data(chunk: Buffer): boolean {
		return this.#response.destroyed || this.#response.write(chunk);
	}

	async drained(): Promise<void> {
		const stall = this.#timers.after(this.#stallMs, () => {
			this.#response.destroy();
		});
		await Promise.race([once(this.#response, 'drain'), once(this.#response, 'close')]);
		stall.cancel();
	}

	end(): void {
		this.#response.end();
	}

	refuse(refusal: Refusal): void {
		if (!this.#response.headersSent) {
			writeRefusal(this.#response, refusal, this.#requestId);
			return;
		}

		this.#response.end(`event: error\ndata: ${newRefusalBody(refusal, this.#requestId)}\n\n`);
	}
}
