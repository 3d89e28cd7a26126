import {
	type Capacity, type EngineOrder, type Holdings, type ResidencyState, type UnitNeed, ORDER_KIND, getLoadMs, getWantedMs,
} from '@valelead/residency';

type OrderState = {
	readonly capacity: Capacity;
	readonly holdings: Holdings;
	readonly needs: readonly UnitNeed[];
	readonly residency: ResidencyState;
};

/** What an order was decided on, for its log line: who waits, how many models are wanted here, and how long the load is expected to take. */
export const getOrderInputs = ({kind, model}: EngineOrder, {capacity, holdings, needs, residency}: OrderState): object => {
	const waiting = needs.filter(need => need.model === model).reduce((sum, need) => sum + need.waiting, 0);
	const wantedModels = new Set(needs.filter(need => need.waiting > 0).map(need => need.model)).size;
	return kind === ORDER_KIND.Load
		? {
			waiting, wantedModels, wantedMs: Math.round(getWantedMs(residency, model)), loadMs: getLoadMs(capacity, holdings, model),
		}
		: {waiting, wantedModels};
};
