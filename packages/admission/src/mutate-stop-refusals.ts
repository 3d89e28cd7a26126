import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/**
 * Whether a request that waits might be cut off with an entry that stops. Nothing but its own deadline bounds how long it runs. One that
 * may have run already goes on: it could not be refused as not run.
 */
const isAbortableAtStop = ({state, runs, request}: RequestRecord, endsAt: number): boolean => state === 'waiting' && runs === 0 && request.deadlineAt > endsAt;

/** Refuses waiting requests that might be cut off with an entry that stops, while their callers can go elsewhere. */
export const mutateStopRefusals = (state: AdmissionState): AdmissionEffect[] => {
	const {endsAt} = state;
	if (endsAt === undefined) {
		return [];
	}

	const refused = [...state.requests.values()].filter(record => isAbortableAtStop(record, endsAt));
	return refused.flatMap(record => mutateRequestRefusal(state, record, RESULT_CODE.Draining, OUTCOME.NotRun, 0));
};
