import {getLoadMs} from './get-load-ms.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementUnit} from './placement-unit.js';

/** What a millisecond of waiting costs, for each millisecond that the load occupies the weight store. */
export const getLoadPriority = (state: PlacementState, unit: PlacementUnit): number => unit.waitingWeight / getLoadMs(state, unit);
