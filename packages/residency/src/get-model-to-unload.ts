import type {Holdings} from './holdings.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** A model that was not used yet but that other engines hold too counts as used once, so that the others go first. */
const getLastUsedAt = (state: ResidencyState, holdings: Holdings, name: string): number => {
	const hasCopy = holdings.copiesOnDisk.includes(name) || holdings.copiesInMemory.includes(name);
	if (!hasCopy) {
		return Number.MAX_VALUE;
	}

	return state.lastUsedAt.get(name) ?? (holdings.replicated.has(name) ? 0 : Number.NEGATIVE_INFINITY);
};

/** The held model that nobody needs and that was used longest ago, if there is one; one without a copy on the engine goes last. */
export const getModelToUnload = (state: ResidencyState, holdings: Holdings, needs: readonly UnitNeed[]): string | undefined => {
	const needed = new Set(needs.filter(need => need.waiting + need.inProgress > 0).map(need => need.model));
	let idle: string | undefined;
	let idleSince = Number.POSITIVE_INFINITY;
	for (const {name} of holdings.models) {
		const usedAt = getLastUsedAt(state, holdings, name);
		if (!needed.has(name) && (idle === undefined || usedAt < idleSince)) {
			idle = name;
			idleSince = usedAt;
		}
	}

	return idle;
};
