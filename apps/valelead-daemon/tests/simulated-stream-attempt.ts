import {Buffer} from 'node:buffer';
import {OUTCOME, RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import type {VirtualProcess} from '../../../tests/support/virtual-process.js';
import type {SimulatedStreamEngine} from './simulated-stream-engine.js';
import {type AttemptOptions, type SentAttempt, newAttemptFailure} from 'valelead-daemon';

const EVENTS = 20;
const EVENT_MS = 25;
const FIRST_EVENT_MS = 30;
const LINK_MS = 2;
const HTTP_OK = 200;

/** One attempt of a simulated gateway at a simulated engine. */
export class SimulatedStreamAttempt implements SentAttempt {
	isSent = false;
	isAnswered = false;
	readonly #terms: AttemptOptions;
	readonly #engine: SimulatedStreamEngine;
	readonly #gateway: VirtualProcess;
	#isOver = false;

	constructor(terms: AttemptOptions, engine: SimulatedStreamEngine, gateway: VirtualProcess) {
		this.#terms = terms;
		this.#engine = engine;
		this.#gateway = gateway;
		const position = terms.headers.indexOf('last-event-id');
		const lastEvent = position === -1 ? 0 : Number(terms.headers[position + 1]);
		this.#after(LINK_MS, () => {
			this.#begin(lastEvent);
		});
	}

	get requestId(): string {
		return this.#terms.requestId;
	}

	get upstreamId(): string {
		return this.#terms.upstreamId;
	}

	get isConnectionReused(): boolean {
		return false;
	}

	get startedAt(): number {
		return this.#terms.startedAt;
	}

	cancel(): void {
		this.#isOver = true;
	}

	fail(code: ResultCodeValue, reason: string): void {
		this.#fail(code, OUTCOME.Unknown, reason);
	}

	#begin(lastEvent: number): void {
		if (!this.#engine.isUp) {
			this.#fail(RESULT_CODE.UpstreamUnreachable, OUTCOME.NotRun, 'refused');
			return;
		}

		this.isSent = true;
		this.#after(FIRST_EVENT_MS, () => {
			this.isAnswered = true;
			this.#terms.events.onHead({statusCode: HTTP_OK, headers: {}, rawHeaders: []});
			this.#sendEvent(lastEvent + 1);
		});
	}

	#sendEvent(event: number): void {
		if (!this.#engine.isUp) {
			this.#fail(RESULT_CODE.AnswerCut, OUTCOME.Unknown, 'the engine ended');
			return;
		}

		const {service, softwareVersion} = this.#engine;
		this.#terms.events.onData(Buffer.from(`id: ${event}\ndata: ${service}/${softwareVersion}\n\n`));
		if (event < EVENTS) {
			this.#after(EVENT_MS, () => {
				this.#sendEvent(event + 1);
			});
			return;
		}

		this.#isOver = true;
		this.#terms.events.onEnd();
	}

	#fail(code: ResultCodeValue, outcome: Parameters<typeof newAttemptFailure>[1], reason: string): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#terms.events.onFailure(newAttemptFailure(code, outcome, reason));
		}
	}

	#after(delayMs: number, action: () => void): void {
		this.#gateway.after(delayMs, () => {
			if (!this.#isOver) {
				action();
			}
		});
	}
}
