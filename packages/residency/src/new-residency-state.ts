import type {ResidencyState} from './residency-state.js';

/** Nothing was used or wanted yet. */
export const newResidencyState = (): ResidencyState => ({lastUsedAt: new Map(), copyLoads: {rate: 0, at: 0}, modelWaits: new Map()});
