import {getServiceDecay} from './get-service-decay.js';
import type {AdmissionState} from './admission-state.js';

/** Classes whose shares differ by less than one of these steps got about the same; a twentieth is one request of those that are remembered. */
const STEPS = 20;

/** Number of requests in time that every class is assumed to have in addition, so that one late request of a class with few requests changes little. */
const ASSUMED_IN_TIME = 1;

/** Returns the share of a class's requests that were recently dispatched in time, rounded to twentieths; 1 if there were none. */
export const getClassShare = (state: AdmissionState, className: string, now: number): number => {
	const service = state.classServices.get(className);
	if (!service || service.inTime === service.decided) {
		return 1;
	}

	const weight = getServiceDecay(now - service.updatedAt);
	const share = ((service.inTime * weight) + ASSUMED_IN_TIME) / ((service.decided * weight) + ASSUMED_IN_TIME);
	return Math.round(share * STEPS) / STEPS;
};
