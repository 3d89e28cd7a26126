import {hasReachedAll} from './has-reached-all.js';
import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Returns the upstreams to which a request may be sent: all of its target, or those that it has reached once they are as many as it may reach. */
export const getAllowedEndpoints = (state: AdmissionState, record: Pick<RequestRecord, 'request' | 'reachedVms'>): readonly AdmissionEndpoint[] => {
	const endpoints = state.endpoints.get(record.request.target) ?? [];
	return hasReachedAll(record) ? endpoints.filter(({vm}) => record.reachedVms.has(vm)) : endpoints;
};
