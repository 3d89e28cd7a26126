import type {LeaseState} from './lease-state.js';

/** What a leadership that begins now knows of leases: nothing. */
export const newLeaseState = (term: number, now: number): LeaseState => ({
	term, startedAt: now, leases: new Map(), attended: new Set(), ended: new Map(), firstSeenAt: new Map(), grantedCount: 0,
});
