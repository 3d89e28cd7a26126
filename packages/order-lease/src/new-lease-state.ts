import type {LeaseState} from './lease-state.js';

/** Creates the lease state of a new leader's term, which contains no leases yet. */
export const newLeaseState = (term: number, now: number): LeaseState => ({
	term, startedAt: now, leases: new Map(), enginesWithSidecar: new Set(), endedAt: new Map(), firstSeenAt: new Map(), grantedCount: 0,
});
