import type {Holdings} from './holdings.js';
import type {UnitNeed} from './unit-need.js';

/** Models that requests wait for and that the engine does not hold, the most urgent first. */
export const getWantedModels = (holdings: Holdings, needs: readonly UnitNeed[]): string[] => {
	const held = new Set(holdings.models.map(model => model.name));
	const due = new Map<string, number>();
	for (const {model, waiting, dueInMs} of needs) {
		if (waiting > 0 && !held.has(model)) {
			due.set(model, Math.min(dueInMs, due.get(model) ?? Number.POSITIVE_INFINITY));
		}
	}

	return [...due.entries()].sort((left, right) => left[1] - right[1]).map(([model]) => model);
};
