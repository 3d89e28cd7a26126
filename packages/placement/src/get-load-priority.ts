import {getLoadMs} from './get-load-ms.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementUnit} from './placement-unit.js';

/**
 * The priority of loading a unit: the weight of its waiting requests divided by its load time from the weight store, as in weighted
 * shortest job first. Units with a higher value are loaded first.
 */
export const getLoadPriority = (state: PlacementState, unit: PlacementUnit): number => unit.waitingWeight / getLoadMs(state, unit);
