import {
	type Capacity, type EngineOrder, type EngineModels, type ResidencyState, type UnitNeed, ORDER_KIND, getLoadMs, getModelWaitMs,
} from '@valelead/residency';
import type {OrderReply} from './order-reply.js';

type OrderState = {
	readonly upstreamId: string;
	readonly expectedSequence: number;
	readonly tookMs: number;
	readonly capacity: Capacity;
	readonly engine: EngineModels;
	readonly needs: readonly UnitNeed[];
	readonly residency: ResidencyState;
};

/** Returns the fastest source from which the engine can load the model: a copy in memory, a copy on disk or the weight store. */
const getSource = ({copiesInMemory, copiesOnDisk}: EngineModels, model: string): string => {
	if (copiesInMemory.includes(model)) {
		return 'memory';
	}

	return copiesOnDisk.includes(model) ? 'disk' : 'store';
};

/** Builds the log record of an order: its result, the waiting requests, the number of models that requests wait for, and the expected load time. */
export const newOrderRecord = ({kind, model, adapter}: EngineOrder, {result, reason}: OrderReply, state: OrderState): object => {
	const {upstreamId, expectedSequence, tookMs, capacity, engine, needs, residency} = state;
	const waiting = needs.filter(need => need.model === model).reduce((sum, need) => sum + need.waiting, 0);
	const wantedModels = new Set(needs.filter(need => need.waiting > 0).map(need => need.model)).size;
	const source = getSource(engine, model);
	const load = {source, wantedMs: Math.round(getModelWaitMs(residency, model)), loadMs: getLoadMs(capacity, engine, model)};
	return {
		event: 'order', order: kind, model, adapter, upstreamId, expectedSequence, result, reason, tookMs: Math.round(tookMs), waiting, wantedModels, ...(kind === ORDER_KIND.Load && load),
	};
};
