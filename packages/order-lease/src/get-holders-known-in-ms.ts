import type {LeaseState} from './lease-state.js';

/** Within this time, two heartbeats, a new leader receives the reports of the holders of leases that earlier leaders granted, in milliseconds. */
const HOLDER_REPORTS_MS = 1000;

/**
 * Returns the time until a leader knows the holders of leases that earlier leaders granted, in milliseconds. The leader does not learn of
 * holders that are partitioned from it for longer.
 */
export const getHoldersKnownInMs = ({startedAt}: LeaseState, now: number): number => Math.max(0, startedAt + HOLDER_REPORTS_MS - now);
