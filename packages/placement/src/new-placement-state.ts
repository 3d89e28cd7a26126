import type {PlacementState} from './placement-state.js';
import type {PolicySettings} from './policy-settings.js';

/** The assumed ratio of a VM disk's load speed to that of the weight store, used until both have been measured. */
const ASSUMED_DISK_SPEEDUP = 4;

/** Creates a placement state without any history. */
export const newPlacementState = (settings: PolicySettings, now: number): PlacementState => ({
	histories: new Map(),
	loads: new Map(),
	startTokens: 1,
	tokensRefilledAt: now,
	storeMsPerGib: settings.assumedLoadMsPerGib,
	diskMsPerGib: settings.assumedLoadMsPerGib / ASSUMED_DISK_SPEEDUP,
});
