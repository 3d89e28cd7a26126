/**
 * Duration of a crash lease in milliseconds: two heartbeats. While its lease lasts, a gateway may send requests that were in phase
 * `SUSPECT_PHASE.Begun` at a crash without hearing from the leader. The gateway counts the lease from when it sent the report that the leader
 * answered, the leader from when it received the report, so the lease expires at the gateway first.
 */
export const CRASH_LEASE_MS = 1000;
