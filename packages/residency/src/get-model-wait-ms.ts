import type {ResidencyState} from './residency-state.js';

/** How long requests have been waiting for a model without a gap, in milliseconds, even if the first callers have given up since. */
export const getModelWaitMs = (state: ResidencyState, model: string): number => {
	const modelWait = state.modelWaits.get(model);
	return modelWait ? modelWait.lastAt - modelWait.since : 0;
};
