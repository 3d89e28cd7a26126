import {getAdapterOrder} from './get-adapter-order.js';
import {getModelToUnload} from './get-model-to-unload.js';
import {getModelWaitMs} from './get-model-wait-ms.js';
import {getUsedMemory} from './get-used-memory.js';
import {getLoadMs} from './get-load-ms.js';
import {getAgingFactor} from './get-aging-factor.js';
import {getCopyLoadRate} from './get-copy-load-rate.js';
import {getLoadQueue} from './get-load-queue.js';
import {getLoadValue} from './get-load-value.js';
import {getWaits} from './get-waits.js';
import {isStoreLoad} from './is-store-load.js';
import {LOAD_DELAY} from './load-delay.js';
import {ORDER_KIND} from './order-kind.js';
import type {Capacity} from './capacity.js';
import type {EngineOrder} from './engine-order.js';
import type {EngineModels} from './engine-models.js';
import type {LoadStep} from './load-step.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/**
 * True if a load from the weight store is worth less than the loads from copies that the engine would complete in the same time, judged
 * by its recent rate: one such load takes as long as about nine swaps. Its value grows with the waiting time, so it runs eventually.
 * If such loads began in every pause of the queue, there would be 19 of them instead of 16 in the simulated pattern mixed-losses.
 */
const isDisplacingCopyLoads = (state: ResidencyState, capacity: Capacity, engine: EngineModels, model: string, needs: readonly UnitNeed[], now: number): boolean => {
	const loadMs = getLoadMs(capacity, engine, model);
	const value = getLoadValue(getWaits(needs, model), loadMs) * getAgingFactor(getModelWaitMs(state, model));
	return isStoreLoad(capacity, engine, model) && value > 0 && value < getCopyLoadRate(state, now) * loadMs;
};

const NO_STEP: LoadStep = {kind: 'rest'};

const newModelOrder = (kind: EngineOrder['kind'], model: string): LoadStep => ({kind: 'order', order: {kind, model, adapter: ''}});

const getModelStep = (state: ResidencyState, capacity: Capacity, engine: EngineModels, needs: readonly UnitNeed[], now: number): LoadStep => {
	const loaded = new Set(engine.models.map(model => model.name));
	const queue = getLoadQueue({
		loaded, needs, getLoadMs: model => getLoadMs(capacity, engine, model), getModelWaitMs: model => getModelWaitMs(state, model),
	});
	const nextModel = queue.find(model => capacity.models.has(model));
	if (nextModel === undefined) {
		return NO_STEP;
	}

	if (isDisplacingCopyLoads(state, capacity, engine, nextModel, needs, now)) {
		return {kind: 'delay', load: {model: nextModel, reason: LOAD_DELAY.CopiesFirst}};
	}

	const {weightMemory} = capacity.models.get(nextModel)!;
	if (getUsedMemory(capacity, engine) + weightMemory <= capacity.weightMemory) {
		return newModelOrder(ORDER_KIND.Load, nextModel);
	}

	const idle = getModelToUnload(state, engine, needs);
	return idle === undefined ? {kind: 'delay', load: {model: nextModel, reason: LOAD_DELAY.NoIdleModel}} : newModelOrder(ORDER_KIND.Unload, idle);
};

/**
 * Decides what an engine does next for waiting requests: carry out an order, delay a load, or rest if no request waits or the engine is
 * busy. Adapters are loaded before models because they take only milliseconds. A busy engine gets no order, because an engine refuses
 * every order while it loads a model.
 * @param now - Monotonic time in milliseconds.
 */
export const getNextStep = (state: ResidencyState, capacity: Capacity, engine: EngineModels, needs: readonly UnitNeed[], now: number): LoadStep => {
	if (engine.isBusy) {
		return NO_STEP;
	}

	const order = getAdapterOrder(state, capacity, engine, needs);
	return order ? {kind: 'order', order} : getModelStep(state, capacity, engine, needs, now);
};
