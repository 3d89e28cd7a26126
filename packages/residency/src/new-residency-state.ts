import type {ResidencyState} from './residency-state.js';

/** Nothing was used yet. */
export const newResidencyState = (): ResidencyState => ({lastUsedAt: new Map()});
