import {getFreeAt} from './get-free-at.js';
import type {LeaseSettings} from './lease-settings.js';
import type {LeaseState} from './lease-state.js';

/** How long a sidecar that starts late leaves its engine to the orders of a holder before it, in milliseconds. */
export const getSidecarDelayMs = (state: LeaseState, settings: LeaseSettings, address: string, now: number): number =>
	state.leases.has(address) ? Math.max(0, getFreeAt(state, settings, address) - now) : 0;
