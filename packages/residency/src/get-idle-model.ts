import type {Holdings} from './holdings.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** The held model that nobody needs and that was used longest ago, if there is one. */
export const getIdleModel = (state: ResidencyState, holdings: Holdings, needs: readonly UnitNeed[]): string | undefined => {
	const needed = new Set(needs.filter(need => need.waiting + need.inProgress > 0).map(need => need.model));
	let idle: string | undefined;
	let idleSince = Number.POSITIVE_INFINITY;
	for (const {name} of holdings.models) {
		const usedAt = state.lastUsedAt.get(name) ?? Number.NEGATIVE_INFINITY;
		if (!needed.has(name) && (idle === undefined || usedAt < idleSince)) {
			idle = name;
			idleSince = usedAt;
		}
	}

	return idle;
};
