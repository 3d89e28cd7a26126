import type {PlacementState} from './placement-state.js';
import type {PolicySettings} from './policy-settings.js';

/**
 * Refills the token bucket that limits how often loads from the weight store start. Its size is the number of loads that may start in one
 * second, and at least one.
 */
export const mutateStartTokens = (state: PlacementState, settings: PolicySettings, now: number): void => {
	const refill = (now - state.tokensRefilledAt) * settings.loadsPerSecond / 1000;
	state.startTokens = Math.min(Math.max(1, settings.loadsPerSecond), state.startTokens + refill);
	state.tokensRefilledAt = now;
};
