import {getAdapterOrder} from './get-adapter-order.js';
import {getIdleModel} from './get-idle-model.js';
import {getUsedMemory} from './get-used-memory.js';
import {getWantedModels} from './get-wanted-models.js';
import {ORDER_KIND} from './order-kind.js';
import type {Capacity} from './capacity.js';
import type {EngineOrder} from './engine-order.js';
import type {Holdings} from './holdings.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

const getModelOrder = (state: ResidencyState, capacity: Capacity, holdings: Holdings, needs: readonly UnitNeed[]): EngineOrder | undefined => {
	const wanted = getWantedModels(holdings, needs).find(model => capacity.models.has(model));
	if (wanted === undefined) {
		return undefined;
	}

	const {weightMemory} = capacity.models.get(wanted)!;
	if (getUsedMemory(capacity, holdings) + weightMemory <= capacity.weightMemory) {
		return {kind: ORDER_KIND.Load, model: wanted, adapter: ''};
	}

	const idle = getIdleModel(state, holdings, needs);
	return idle === undefined ? undefined : {kind: ORDER_KIND.Unload, model: idle, adapter: ''};
};

/**
 * The order that serves waiting requests next, or undefined where nothing waits or nothing can make way.
 * Adapters come first, as they load within milliseconds and do not keep the engine from its models.
 */
export const getNextOrder = (state: ResidencyState, capacity: Capacity, holdings: Holdings, needs: readonly UnitNeed[]): EngineOrder | undefined => {
	const adapterOrder = getAdapterOrder(state, capacity, holdings, needs);
	if (holdings.isBusy) {
		return adapterOrder;
	}

	return adapterOrder ?? getModelOrder(state, capacity, holdings, needs);
};
