import type {LeaseState} from './lease-state.js';

/** A new leader hears from the holders of leases that earlier ones granted within this time, in milliseconds: two heartbeats. */
const HOLDER_REPORTS_MS = 1000;

/**
 * Until a leader knows who gave orders under leases of earlier ones, in milliseconds. Holders that are cut off from it for longer stay unknown to it.
 */
export const getHoldersKnownMs = ({startedAt}: LeaseState, now: number): number => Math.max(0, startedAt + HOLDER_REPORTS_MS - now);
