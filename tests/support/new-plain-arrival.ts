import type {AdmissionEvent, Ticket} from '@valelead/admission';

const UNLIMITED = 10_000;
const LIMITS = {teamInProgress: UNLIMITED, teamWaiting: UNLIMITED, classWaiting: UNLIMITED};

/** The arrival of a request that any upstream may run again, of the only team and class, without limits. */
export const newPlainArrival = (ticket: Pick<Ticket, 'requestId' | 'target' | 'arrivedAt' | 'deadlineAt'> & Partial<Ticket>): AdmissionEvent => ({
	kind: 'arrive',
	limits: LIMITS,
	ticket: {
		team: '', teamWeight: 1, className: 'c', classWeight: 1, isRepeatable: true, maxAttempts: 4, ...ticket,
	},
});
