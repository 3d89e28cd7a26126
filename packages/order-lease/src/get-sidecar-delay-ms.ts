import {getNextHolderStartAt} from './get-next-holder-start-at.js';
import type {LeaseSettings} from './lease-settings.js';
import type {LeaseState} from './lease-state.js';

/** How long a sidecar that starts late leaves its engine to the orders of a holder before it, in milliseconds. */
export const getSidecarDelayMs = (state: LeaseState, settings: LeaseSettings, address: string, now: number): number => {
	const heldUntil = state.leases.has(address) ? getNextHolderStartAt(state, settings, address) : Number.NEGATIVE_INFINITY;
	const endedUntil = (state.ended.get(address) ?? Number.NEGATIVE_INFINITY) + settings.orderGapMs;
	return Math.max(0, heldUntil - now, endedUntil - now);
};
