import type {EngineOrder, EngineModels} from '@valelead/residency';
import type {EngineStatus} from '../adapter/engine-status.js';

/**
 * What an engine holds, with the adapters that are on their way.
 * @param loadedElsewhere - Models that other engines hold as well.
 * @param unconfirmedLoads - Loads that orders to an earlier run may still begin.
 */
export const newEngineModels = ({models, pending, isBusy, copiesInMemory, copiesOnDisk}: EngineStatus, loadedElsewhere: ReadonlySet<string>, unconfirmedLoads: readonly EngineOrder[]): EngineModels => ({
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
