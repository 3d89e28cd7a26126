import type {LeaseState} from './lease-state.js';

/**
 * Records that a holder sent an engine no order after the given time, in monotonic milliseconds. A leader that did not grant the lease learns
 * of it only from this report.
 */
export const mutateEndedLease = ({endedAt: ended}: LeaseState, address: string, at: number): void => {
	ended.set(address, Math.max(at, ended.get(address) ?? Number.NEGATIVE_INFINITY));
};
