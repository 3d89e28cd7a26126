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

/** Where an engine would load a model from. */
const getSource = ({copiesInMemory, copiesOnDisk}: EngineModels, model: string): string => {
	if (copiesInMemory.includes(model)) {
		return 'memory';
	}

	return copiesOnDisk.includes(model) ? 'disk' : 'store';
};

/** The log line of an order: what came of it, who waits, how many models are wanted here, and how long the load is expected to take. */
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
