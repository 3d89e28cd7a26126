import {getAllowedEndpoints} from './get-allowed-endpoints.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** False if a request may be sent only to upstreams that it has reached, and none of these serves its target now. */
export const isServable = (state: AdmissionState, record: RequestRecord, now: number): boolean => {
	const {request, reachedVms} = record;
	return reachedVms.size !== request.maxUpstreams
		|| getAllowedEndpoints(state, record).some(({vm}) => now >= (state.lanes.get(vm)?.avoided.get(request.target) ?? Number.NEGATIVE_INFINITY));
};
