import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {isServable} from './is-servable.js';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionState} from './admission-state.js';

/** Refuses the waiting requests that have reached as many upstreams as they may, once none of these serves their target any more. */
export const mutateStrandedRequests = (state: AdmissionState, now: number): AdmissionEffect[] => {
	const stranded = [...state.queues.values()].flatMap(queue => queue.filter(record => !isServable(state, record, now)));
	return stranded.flatMap(record => mutateRequestRefusal(state, record, RESULT_CODE.NoUpstream, OUTCOME.NotRun));
};
