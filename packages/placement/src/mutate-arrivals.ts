import type {UsageHistory} from './usage-history.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementUnit} from './placement-unit.js';

/** The maximum number of gaps that are remembered per unit. */
const MAX_GAPS = 48;

/** The weight of the newest value in an exponential moving average. */
const SMOOTHING_FACTOR = 0.3;

/** Arrivals that are less than this apart belong to one session of use, in milliseconds; longer gaps separate sessions. */
const SESSION_GAP_MS = 5000;

const newHistory = (now: number): UsageHistory => ({
	lastArrivalAt: now,
	wasPrewarmed: false,
	gaps: [],
	burstSize: 1,
	requestWeight: 1,
});

/** Records that requests for a unit arrived, and the gap before them if it separates two sessions of use. */
export const mutateArrivals = (state: PlacementState, unit: PlacementUnit, now: number): void => {
	const history = state.histories.get(unit.key) ?? newHistory(now);
	state.histories.set(unit.key, history);
	const gap = now - history.lastArrivalAt;
	history.lastArrivalAt = now;
	history.wasPrewarmed = false;
	if (gap >= SESSION_GAP_MS) {
		history.gaps.push(gap);
	}

	if (history.gaps.length > MAX_GAPS) {
		history.gaps.shift();
	}

	if (unit.waiting > 0) {
		history.burstSize += (unit.waiting - history.burstSize) * SMOOTHING_FACTOR;
		history.requestWeight += ((unit.waitingWeight / unit.waiting) - history.requestWeight) * SMOOTHING_FACTOR;
	}
};
