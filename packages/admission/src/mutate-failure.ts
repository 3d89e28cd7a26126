import {
	OUTCOME, RESULT_CODE, type OutcomeValue, type ResultCodeValue,
} from '@valelead/common';
import {getLane} from './get-lane.js';
import {mutateRefused} from './mutate-refused.js';
import {mutateReleased} from './mutate-released.js';
import {mutateQueued} from './mutate-queued.js';
import {mutateRequest} from './mutate-request.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

type Failure = {
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	readonly jitter: number;
};

/** The spread of an ejection around its base, either way. */
const JITTER_SHARE = 0.2;

/** Codes that say something of the agent's present state, not of its health. */
const GATE_CODES: ReadonlySet<ResultCodeValue> = new Set([
	RESULT_CODE.CreditExpired,
	RESULT_CODE.UnitNotReady,
	RESULT_CODE.Draining,
	RESULT_CODE.UpstreamLeaving,
	RESULT_CODE.ConfigurationTooOld,
]);

/**
 * Leaves an upstream out after failures in a row, for a time that doubles with a bounded jitter
 * (the jitter of ±20% follows "Resilience: Circuit Breakers and Retry Backoff", ComputeFlux series, article 9).
 */
const mutateHealth = (lane: AdmissionLane, settings: AdmissionSettings, jitter: number, now: number): void => {
	lane.failures += 1;
	if (lane.failures < settings.ejectAfter && lane.ejections === 0) {
		return;
	}

	const baseMs = Math.min(settings.maxEjectMs, settings.ejectMs * (2 ** lane.ejections));
	lane.ejectedUntil = now + (baseMs * (1 - JITTER_SHARE + (2 * JITTER_SHARE * jitter)));
	lane.ejections += 1;
	lane.failures = 0;
};

const canRetry = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, failure: Failure, isGate: boolean): boolean => {
	const isSafe = failure.outcome === OUTCOME.NotRun || record.ticket.isRepeatable;
	if (!isSafe || record.state !== 'sent' || record.attempts >= settings.maxAttempts) {
		return false;
	}

	return isGate || state.retryTokens >= 1;
};

/**
 * Takes the end of an attempt that gave no answer. It is dispatched again only if it did not run or may
 * run twice, nothing of an answer was passed on, and the retry budget allows it.
 */
export const mutateFailure = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, failure: Failure, now: number): AdmissionEffect[] => {
	const isGate = GATE_CODES.has(failure.code);
	const lane = getLane(state, record.vm);
	if (isGate) {
		lane.avoided.set(record.ticket.target, now + settings.avoidMs);
	} else {
		mutateHealth(lane, settings, failure.jitter, now);
	}

	const isRetried = canRetry(state, settings, record, failure, isGate) && now < record.ticket.deadlineAt;
	if (failure.outcome !== OUTCOME.NotRun) {
		record.mayHaveRun = true;
	}

	if (!isRetried) {
		return mutateRefused(state, record, failure.code, failure.outcome);
	}

	state.retryTokens -= isGate ? 0 : 1;
	mutateReleased(state, record);
	mutateRequest(record, 'requeue');
	mutateQueued(state, record);
	return [];
};
