import type {EngineOrder, EngineModels} from '@valelead/residency';
import type {EngineStatus} from '../adapter/engine-status.js';

/**
 * Returns the models and adapters of an engine, including adapters that are still being loaded.
 * @param loadedElsewhere - Models that are also loaded on other engines.
 * @param unconfirmedLoads - Loads that may still begin because of unanswered orders to an earlier run of the engine.
 */
export const newEngineModels = (
	{models, pending, isBusy, copiesInMemory, copiesOnDisk}: EngineStatus,
	loadedElsewhere: ReadonlySet<string>,
	unconfirmedLoads: readonly EngineOrder[],
): EngineModels => ({
	isBusy,
	unconfirmedLoads,
	loadedElsewhere,
	copiesInMemory,
	copiesOnDisk,
	models: models.map(({name, adapters}) => {
		const loading = pending.filter(unit => unit.model === name).map(unit => unit.adapter);
		return {name, adapters: [...new Set([...adapters, ...loading])]};
	}),
});
