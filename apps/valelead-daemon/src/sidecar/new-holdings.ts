import type {EngineOrder, EngineModels} from '@valelead/residency';
import type {EngineStatus} from '../adapter/engine-status.js';

/**
 * What an engine holds, with the adapters that are on their way.
 * @param replicated - Models that other engines hold as well.
 * @param lateLoads - Loads that orders to an earlier run may still begin.
 */
export const newHoldings = ({models, pending, isBusy, copiesInMemory, copiesOnDisk}: EngineStatus, replicated: ReadonlySet<string>, lateLoads: readonly EngineOrder[]): EngineModels => ({
	isBusy,
	unconfirmedLoads: lateLoads,
	loadedElsewhere: replicated,
	copiesInMemory,
	copiesOnDisk,
	models: models.map(({name, adapters}) => {
		const coming = pending.filter(unit => unit.model === name).map(unit => unit.adapter);
		return {name, adapters: [...new Set([...adapters, ...coming])]};
	}),
});
