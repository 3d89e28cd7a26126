import {getLoadMs} from './get-load-ms.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementUnit} from './placement-unit.js';
import type {PlacementVm} from './placement-vm.js';

/** Share of the expected load time below which a load is not begun for the waiting requests. */
const MIN_REMAINING_SHARE = 0.8;

/** Whether a load begun now may end before the last waiting request gives up. */
export const canLoadInTime = (state: PlacementState, unit: PlacementUnit, vm: PlacementVm): boolean => unit.mostRemainingMs >= getLoadMs(state, unit, vm) * MIN_REMAINING_SHARE;
