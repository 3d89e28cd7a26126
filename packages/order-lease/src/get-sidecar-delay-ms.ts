import {getNextHolderStartAt} from './get-next-holder-start-at.js';
import type {LeaseSettings} from './lease-settings.js';
import type {LeaseState} from './lease-state.js';

/** Returns how long a sidecar that starts late must wait, in milliseconds, until orders of the previous lease holder can no longer arrive. */
export const getSidecarDelayMs = (state: LeaseState, settings: LeaseSettings, address: string, now: number): number => {
	const heldUntil = state.leases.has(address) ? getNextHolderStartAt(state, settings, address) : Number.NEGATIVE_INFINITY;
	const endedUntil = (state.endedAt.get(address) ?? Number.NEGATIVE_INFINITY) + settings.orderGapMs;
	return Math.max(0, heldUntil - now, endedUntil - now);
};
