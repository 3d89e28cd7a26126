import {REQUEST_STAGE, type RequestWait} from '@valelead/admission';
import type {Clock, ResultCodeValue} from '@valelead/common';
import type {Logger} from 'pino';
import type {Metrics} from '../metrics/metrics.js';
import type {WaitEffect} from './wait-effect.js';

type WaitRecorderParts = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<Metrics, 'stageWait'>;
};

/** Minimum interval between two log lines, in milliseconds. Under scarcity, a large part of all requests is overdue. */
const LOG_INTERVAL_MS = 500;

const MS_PER_SECOND = 1000;

const STAGE_LABELS = {
	[REQUEST_STAGE.Due]: 'due',
	[REQUEST_STAGE.CanWait]: 'can-wait',
	[REQUEST_STAGE.Late]: 'late',
} as const;

/** Records how requests that are ordered by their latest start have waited: in a histogram, and in a bounded number of log lines if they were overdue. */
export class WaitRecorder {
	readonly #parts: WaitRecorderParts;
	#loggedAt = Number.NEGATIVE_INFINITY;
	#omitted = 0;

	constructor(parts: WaitRecorderParts) {
		this.#parts = parts;
	}

	/** @param requestId - The caller's id of the request. */
	note(effect: WaitEffect, requestId: string | undefined): void {
		const {wait} = effect;
		if (!wait) {
			return;
		}

		const code = effect.kind === 'refuse' ? effect.code : undefined;
		this.#parts.metrics.stageWait.observe({class: wait.className, stage: code === undefined ? STAGE_LABELS[wait.stage] : 'refused'}, wait.waitedMs / MS_PER_SECOND);
		if (wait.dispatchedBefore) {
			this.#log(requestId, wait, code);
		}
	}

	#log(requestId: string | undefined, wait: RequestWait, code: ResultCodeValue | undefined): void {
		const now = this.#parts.clock.now();
		if (now - this.#loggedAt < LOG_INTERVAL_MS) {
			this.#omitted += 1;
			return;
		}

		const {
			team, className, target, stage, waitedMs, overdueMs, classShare, waiting, dispatchedBefore,
		} = wait;
		this.#parts.logger.info({
			event: 'request-overdue',
			requestId,
			team,
			route: className,
			target,
			stage: STAGE_LABELS[stage],
			code,
			waitedMs: Math.round(waitedMs),
			overdueMs: overdueMs === undefined ? undefined : Math.round(overdueMs),
			classShare,
			waiting,
			dispatchedBefore: Object.fromEntries(dispatchedBefore ?? []),
			omitted: this.#omitted,
		}, code === undefined ? 'request dispatched after its latest start' : 'request refused: it cannot be answered before its caller leaves');
		this.#loggedAt = now;
		this.#omitted = 0;
	}
}
