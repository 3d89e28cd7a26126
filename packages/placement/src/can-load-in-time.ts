import {getLoadMs} from './get-load-ms.js';
import type {PlacementState} from './placement-state.js';
import type {PlacementUnit} from './placement-unit.js';
import type {PlacementVm} from './placement-vm.js';

/** The minimum remaining time of the most patient waiting request, relative to the expected load time, for which a load is started. */
const MIN_REMAINING_SHARE = 0.8;

/** True if a load that starts now may end before the last waiting request reaches its deadline. */
export const canLoadInTime = (state: PlacementState, unit: PlacementUnit, vm: PlacementVm): boolean => unit.mostRemainingMs >= getLoadMs(state, unit, vm) * MIN_REMAINING_SHARE;
