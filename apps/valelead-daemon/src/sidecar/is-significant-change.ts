import {EQUAL_SPEED_RATIO, isSpeedChanged} from '@valelead/residency';
import type {EngineSummary} from './engine-summary.js';

/**
 * A count is reported soon if it changed by at least this number and by at least this fraction. Smaller changes do not affect the choice
 * among replicas.
 */
const MIN_CHANGE = 2;
const MIN_CHANGE_SHARE = 0.25;

const hasChanged = (before: number, after: number): boolean => Math.abs(after - before) >= Math.max(MIN_CHANGE, before * MIN_CHANGE_SHARE);

const getWaiting = ({loads}: EngineSummary): number => loads.reduce((sum, load) => sum + load.waiting, 0);

/** True if a changed summary should be sent to followers soon, rather than together with the next larger change. */
export const isSignificantChange = (before: EngineSummary | undefined, after: EngineSummary): boolean => {
	if (!before || hasChanged(before.inProgress, after.inProgress) || hasChanged(getWaiting(before), getWaiting(after))) {
		return true;
	}

	if (isSpeedChanged(before.eventGapMs ?? 0, after.eventGapMs ?? 0, EQUAL_SPEED_RATIO)) {
		return true;
	}

	const counts = new Map(before.models.map(model => [model.name, model.inProgress]));
	return after.models.some(model => hasChanged(counts.get(model.name) ?? 0, model.inProgress));
};
