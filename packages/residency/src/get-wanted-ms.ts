import type {ResidencyState} from './residency-state.js';

/** For how long requests have waited for a model, in milliseconds, whoever of them is still there. */
export const getWantedMs = (state: ResidencyState, model: string): number => {
	const wanted = state.modelWaits.get(model);
	return wanted ? wanted.lastAt - wanted.since : 0;
};
