import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Returns the upstreams to which a request may be sent: all of its target, or those that it has reached once they are as many as it may reach. */
export const getAllowedEndpoints = (state: AdmissionState, {request, reachedVms}: Pick<RequestRecord, 'request' | 'reachedVms'>): readonly AdmissionEndpoint[] => {
	const endpoints = state.endpoints.get(request.target) ?? [];
	return reachedVms.size < (request.maxUpstreams ?? Number.POSITIVE_INFINITY) ? endpoints : endpoints.filter(({vm}) => reachedVms.has(vm));
};
