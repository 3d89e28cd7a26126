import type {EngineSummary} from './engine-summary.js';

/** A change of a count by this much, or by this part of it, is told without waiting; the choice among replicas turns on no less. */
const MIN_CHANGE = 2;
const MIN_CHANGE_SHARE = 0.25;

const hasChanged = (before: number, after: number): boolean => Math.abs(after - before) >= Math.max(MIN_CHANGE, before * MIN_CHANGE_SHARE);

const getWaiting = ({loads}: EngineSummary): number => loads.reduce((sum, load) => sum + load.waiting, 0);

/** Whether followers should hear of a summary soon, or with the next one that differs more. */
export const isSignificantChange = (before: EngineSummary | undefined, after: EngineSummary): boolean => {
	if (!before || hasChanged(before.inProgress, after.inProgress) || hasChanged(getWaiting(before), getWaiting(after))) {
		return true;
	}

	const counts = new Map(before.models.map(model => [model.name, model.inProgress]));
	return after.models.some(model => hasChanged(counts.get(model.name) ?? 0, model.inProgress));
};
