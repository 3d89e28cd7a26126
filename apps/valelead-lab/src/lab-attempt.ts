import {Buffer} from 'node:buffer';
import {OUTCOME, RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import type {EngineRequest, RequestParameters, VirtualClock} from '@valelead/emulator';
import {SUSPECT_PHASE, type SuspectPhaseValue} from '@valelead/quarantine';
import {
	type AttemptOptions, type SentAttempt, CONNECTION_STATE, newAttemptFailure,
} from 'valelead-daemon';
import type {LabEngine} from './lab-engine.js';

type LabAttemptParts = {
	readonly terms: AttemptOptions;
	readonly engine: LabEngine | undefined;
	readonly clock: VirtualClock;
	readonly linkMs: number;
	readonly run: RequestParameters;
};

const HTTP_OK = 200;

/** One sending of a request to an emulated engine. */
export class LabAttempt implements SentAttempt {
	readonly #parts: LabAttemptParts;
	readonly #run: EngineRequest;
	#isSent = false;
	#isAnswered = false;
	#hasBody = false;
	#isOver = false;
	#events = 0;

	constructor(parts: LabAttemptParts) {
		this.#parts = parts;
		this.#run = this.#newRun();
		parts.clock.schedule(parts.linkMs, () => {
			if (!this.#isOver && parts.engine?.engine.hasCrashed) {
				this.#break();
				return;
			}

			// An engine whose machine is gone leaves the connection hanging.
			if (!this.#isOver && parts.engine?.engine.isUp) {
				this.#isSent = true;
				parts.engine.engine.send(this.#run);
			}
		});
	}

	get requestId(): string {
		return this.#parts.terms.requestId;
	}

	get upstreamId(): string {
		return this.#parts.terms.upstreamId;
	}

	get isConnectionReused(): boolean {
		return false;
	}

	get startedAt(): number {
		return this.#parts.terms.startedAt;
	}

	get isSent(): boolean {
		return this.#isSent;
	}

	get isAnswered(): boolean {
		return this.#isAnswered;
	}

	cancel(): void {
		this.#isOver = true;
		this.#parts.clock.schedule(this.#parts.linkMs, () => {
			this.#parts.engine?.engine.cancel(this.#run);
		});
	}

	fail(code: ResultCodeValue, reason: string): void {
		if (!this.#isOver) {
			this.cancel();
			const [endCode, outcome] = this.#isSent ? [code, OUTCOME.Unknown] : [RESULT_CODE.UpstreamUnreachable, OUTCOME.NotRun];
			this.#parts.terms.events.onFailure(newAttemptFailure(endCode, outcome, reason));
		}
	}

	#newRun(): EngineRequest {
		const {terms: {events}, run} = this.#parts;
		return {
			...run,
			onFirstToken: () => {
				this.#tell(() => {
					this.#takeHead();
				});
			},
			onConnectionLost: () => {
				this.#tell(() => {
					this.#break();
				});
			},
			onEvent: () => {
				this.#events += 1;
				const event = Buffer.from(`id: ${this.#events}\ndata: x\n\n`);
				this.#tell(() => {
					this.#hasBody = true;
					events.onData(event);
				});
			},
			onEnd: () => {
				this.#tell(() => {
					this.#isOver = true;
					events.onEnd();
				});
			},
			onReject: isMissing => {
				this.#tell(() => {
					this.#isOver = true;
					events.onFailure(newAttemptFailure(isMissing ? RESULT_CODE.UpstreamLeaving : RESULT_CODE.UpstreamRejected, OUTCOME.NotRun, 'rejected'));
				});
			},
		};
	}

	get #phase(): SuspectPhaseValue {
		if (this.#hasBody) {
			return SUSPECT_PHASE.Running;
		}

		return this.#isAnswered ? SUSPECT_PHASE.Begun : SUSPECT_PHASE.Unanswered;
	}

	/** The other side broke the connection off, or refused it. */
	#break(): void {
		const {events} = this.#parts.terms;
		this.#isOver = true;
		if (!this.#isSent) {
			events.onFailure({...newAttemptFailure(RESULT_CODE.UpstreamUnreachable, OUTCOME.NotRun, 'refused'), connection: CONNECTION_STATE.Refused});
			return;
		}

		const code = this.#isAnswered ? RESULT_CODE.AnswerCut : RESULT_CODE.UpstreamFailed;
		events.onFailure({...newAttemptFailure(code, OUTCOME.Unknown, 'broken'), connection: CONNECTION_STATE.Broken, phase: this.#phase});
	}

	#takeHead(): void {
		if (!this.#isAnswered) {
			this.#isAnswered = true;
			this.#parts.terms.events.onLimit(this.#parts.engine?.limitPerSecond);
			this.#parts.terms.events.onHead({statusCode: HTTP_OK, headers: {}, rawHeaders: []});
		}
	}

	#tell(tell: () => void): void {
		this.#parts.clock.schedule(this.#parts.linkMs, () => {
			if (!this.#isOver) {
				tell();
			}
		});
	}
}
