import {getDueInMs} from './get-due-in-ms.js';
import {getUnitName} from './get-unit-name.js';
import {getUsedMemory} from './get-used-memory.js';
import {ORDER_KIND} from './order-kind.js';
import type {Capacity} from './capacity.js';
import type {EngineOrder} from './engine-order.js';
import type {EngineModels} from './engine-models.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

const getAdapterUnloadOrder = (state: ResidencyState, engine: EngineModels, needs: readonly UnitNeed[]): EngineOrder | undefined => {
	const needed = new Set(needs.filter(need => need.waiting + need.inProgress > 0).map(need => getUnitName(need.model, need.adapter)));
	let idle: EngineOrder | undefined;
	let idleSince = Number.POSITIVE_INFINITY;
	for (const {name, adapters} of engine.models) {
		for (const adapter of adapters) {
			const unit = getUnitName(name, adapter);
			const usedAt = state.lastUsedAt.get(unit) ?? Number.NEGATIVE_INFINITY;
			if (!needed.has(unit) && (idle === undefined || usedAt < idleSince)) {
				idle = {kind: ORDER_KIND.Unload, model: name, adapter};
				idleSince = usedAt;
			}
		}
	}

	return idle;
};

/**
 * The next order for the adapter whose waiting requests are due first: loads the adapter, or unloads the least recently used idle adapter
 * if slots or memory are used up. Undefined if no request waits for a missing adapter of a loaded model, or if no adapter is idle.
 */
export const getAdapterOrder = (state: ResidencyState, capacity: Capacity, engine: EngineModels, needs: readonly UnitNeed[]): EngineOrder | undefined => {
	const models = new Map(engine.models.map(model => [model.name, model]));
	const nextNeed = needs
		.filter(need => need.adapter !== '' && need.waiting > 0 && models.get(need.model)?.adapters.includes(need.adapter) === false)
		.sort((left, right) => getDueInMs(left) - getDueInMs(right))[0];
	const size = nextNeed && capacity.models.get(nextNeed.model);
	if (!nextNeed || !size) {
		return undefined;
	}

	const lateCount = engine.unconfirmedLoads.filter(({adapter}) => adapter !== '').length;
	const count = engine.models.reduce((sum, model) => sum + model.adapters.length, lateCount);
	const hasMemory = getUsedMemory(capacity, engine) + size.adapterMemory <= capacity.weightMemory;
	if (count < capacity.adapterSlots && hasMemory) {
		return {kind: ORDER_KIND.Load, model: nextNeed.model, adapter: nextNeed.adapter};
	}

	return getAdapterUnloadOrder(state, engine, needs);
};
