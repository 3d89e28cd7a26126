import {getNextStep} from './get-next-step.js';
import type {Capacity} from './capacity.js';
import type {EngineOrder} from './engine-order.js';
import type {Holdings} from './holdings.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** The order that serves waiting requests next, or undefined where nothing waits or nothing can make way. */
export const getNextOrder = (state: ResidencyState, capacity: Capacity, holdings: Holdings, needs: readonly UnitNeed[], now: number): EngineOrder | undefined => {
	const step = getNextStep(state, capacity, holdings, needs, now);
	return step.kind === 'order' ? step.order : undefined;
};
