import type {ResidencyState} from './residency-state.js';

/** Creates the state of an engine whose models have not been used or requested yet. */
export const newResidencyState = (): ResidencyState => ({lastUsedAt: new Map(), copyLoads: {rate: 0, at: 0}, modelWaits: new Map()});
