import type {LeaseState} from './lease-state.js';

/** Creates the lease state of a new leader's term, which contains no leases yet. */
export const newLeaseState = (term: number, now: number): LeaseState => ({
	term, startedAt: now, leases: new Map(), attended: new Set(), ended: new Map(), firstSeenAt: new Map(), grantedCount: 0,
});
