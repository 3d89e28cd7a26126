import type {ResidencyState} from './residency-state.js';

/** How long requests have been waiting for a model without a gap, in milliseconds, even if the first callers have given up since. */
export const getWantedMs = (state: ResidencyState, model: string): number => {
	const wanted = state.modelWaits.get(model);
	return wanted ? wanted.lastAt - wanted.since : 0;
};
