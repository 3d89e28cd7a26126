import type {AdmissionEvent, AdmissionRequest} from '@valelead/admission';

const UNLIMITED = 10_000;
const LIMITS = {teamInProgress: UNLIMITED, teamWaiting: UNLIMITED, classWaiting: UNLIMITED};

/** The arrival of a request that any upstream may run again, of the only team and class, without limits. */
export const newPlainArrival = (ticket: Pick<AdmissionRequest, 'requestId' | 'target' | 'arrivedAt' | 'deadlineAt'> & Partial<AdmissionRequest>): AdmissionEvent => ({
	kind: 'arrive',
	limits: LIMITS,
	request: {
		team: '', teamWeight: 1, className: 'c', classWeight: 1, isRepeatable: true, maxAttempts: 4, ...ticket,
	},
});
