import {OUTCOME, type OutcomeValue, type ResultCodeValue} from '@valelead/common';
import {getRetryAfterMs} from './get-retry-after-ms.js';
import {mutateRequestEnd} from './mutate-request-end.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/**
 * Ends a request with a refusal and cancels its attempt if it has been dispatched. The outcome is reported as unknown if an earlier attempt may
 * have run.
 * @param retryAfterMs - The Retry-After time, in milliseconds; by default the expected time until the present queue is served.
 */
export const mutateRequestRefusal = (
	state: AdmissionState,
	record: RequestRecord,
	code: ResultCodeValue,
	outcome: OutcomeValue,
	retryAfterMs = getRetryAfterMs(state, record.request.target),
): AdmissionEffect[] => {
	const {requestId} = record.request;
	const effects: AdmissionEffect[] = [];
	if (record.state !== 'waiting') {
		effects.push({
			kind: 'cancel', requestId, attemptId: record.attemptId, vm: record.vm,
		});
	}

	const finalOutcome = record.runs > 0 && outcome === OUTCOME.NotRun ? OUTCOME.Unknown : outcome;
	effects.push({
		kind: 'refuse', requestId, code, outcome: finalOutcome, retryAfterMs,
	});
	mutateRequestEnd(state, record, 'refuse');
	return effects;
};
