import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/**
 * Returns true if a waiting request, once sent, could still be in progress when a stopping entry ends and would then be aborted. Only its
 * deadline bounds how long a request runs. A request that may have run already is not refused, as it could not be refused as not run.
 */
const isAbortableAtStop = ({state, runs, request}: RequestRecord, endsAt: number): boolean => state === 'waiting' && runs === 0 && request.deadlineAt > endsAt;

/** Refuses the waiting requests that a stopping entry might have to abort at its end, so that their callers can retry at another entry. */
export const mutateStopRefusals = (state: AdmissionState): AdmissionEffect[] => {
	const {endsAt} = state;
	if (endsAt === undefined) {
		return [];
	}

	const refused = [...state.requests.values()].filter(record => isAbortableAtStop(record, endsAt));
	return refused.flatMap(record => mutateRequestRefusal(state, record, RESULT_CODE.Draining, OUTCOME.NotRun, 0));
};
