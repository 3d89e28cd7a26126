import type {Holdings} from './holdings.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** The held model that nobody needs and that was used longest ago, if there is one; one without a copy on the engine's disk goes last. */
export const getIdleModel = (state: ResidencyState, holdings: Holdings, needs: readonly UnitNeed[]): string | undefined => {
	const needed = new Set(needs.filter(need => need.waiting + need.inProgress > 0).map(need => need.model));
	let idle: string | undefined;
	let idleSince = Number.POSITIVE_INFINITY;
	for (const {name} of holdings.models) {
		const hasCopy = holdings.copiesOnDisk.includes(name) || holdings.copiesInMemory.includes(name);
		const usedAt = hasCopy ? state.lastUsedAt.get(name) ?? Number.NEGATIVE_INFINITY : Number.MAX_VALUE;
		if (!needed.has(name) && (idle === undefined || usedAt < idleSince)) {
			idle = name;
			idleSince = usedAt;
		}
	}

	return idle;
};
