import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {getAllowedEndpoints} from './get-allowed-endpoints.js';
import {hasReachedAll} from './has-reached-all.js';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

const isStranded = (state: AdmissionState, record: RequestRecord): boolean => hasReachedAll(record) && getAllowedEndpoints(state, record).length === 0;

/** Refuses the waiting requests that have reached as many upstreams as they may, once none of these serves their target any more. */
export const mutateStrandedRequests = (state: AdmissionState): AdmissionEffect[] => {
	const stranded = [...state.queues.values()].flatMap(queue => queue.filter(record => isStranded(state, record)));
	return stranded.flatMap(record => mutateRequestRefusal(state, record, RESULT_CODE.NoUpstream, OUTCOME.NotRun));
};
