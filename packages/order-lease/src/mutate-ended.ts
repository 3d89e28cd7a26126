import type {LeaseState} from './lease-state.js';

/**
 * Takes that a holder gave an engine no order after a time, in monotonic milliseconds. A leader that did not grant the lease knows of it only by this.
 */
export const mutateEnded = ({ended}: LeaseState, address: string, at: number): void => {
	ended.set(address, Math.max(at, ended.get(address) ?? Number.NEGATIVE_INFINITY));
};
