import type {PlacementState} from './placement-state.js';
import type {PolicySettings} from './policy-settings.js';

/** A disk reads about this many times faster than the weight store until both are measured. */
const ASSUMED_DISK_SPEEDUP = 4;

/** Nothing remembered yet. */
export const newPlacementState = (settings: PolicySettings, now: number): PlacementState => ({
	histories: new Map(),
	loads: new Map(),
	startTokens: 1,
	tokensRefilledAt: now,
	storeMsPerGib: settings.assumedLoadMsPerGib,
	diskMsPerGib: settings.assumedLoadMsPerGib / ASSUMED_DISK_SPEEDUP,
});
