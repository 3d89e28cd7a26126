import type {LeaseState} from './lease-state.js';

/**
 * Records that a holder sent an engine no order after the given time, in monotonic milliseconds. A leader that did not grant the lease learns
 * of it only from this report.
 */
export const mutateEndedLease = ({endedAt}: LeaseState, address: string, at: number): void => {
	endedAt.set(address, Math.max(at, endedAt.get(address) ?? Number.NEGATIVE_INFINITY));
};
