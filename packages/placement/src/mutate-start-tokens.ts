import type {PlacementState} from './placement-state.js';
import type {PolicySettings} from './policy-settings.js';

/** Refills the starts that the weight store allows. A burst of at most one second's starts is saved up. */
export const mutateStartTokens = (state: PlacementState, settings: PolicySettings, now: number): void => {
	const refill = (now - state.tokensRefilledAt) * settings.loadsPerSecond / 1000;
	state.startTokens = Math.min(Math.max(1, settings.loadsPerSecond), state.startTokens + refill);
	state.tokensRefilledAt = now;
};
