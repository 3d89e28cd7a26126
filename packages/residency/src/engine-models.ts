import type {EngineOrder} from './engine-order.js';
import type {ResidentModel} from './resident-model.js';

/** The models and adapters that an engine has loaded, its copies of models, and its pending work. */
export type EngineModels = {
	readonly models: readonly ResidentModel[];
	/** True if the engine is loading or unloading a model. */
	readonly isBusy: boolean;
	/** Loads ordered from an earlier run of the engine that got no reply and may still begin; memory is reserved for them. */
	readonly unconfirmedLoads: readonly EngineOrder[];
	/** The models that are loaded on other engines. An installation keeps busy models loaded on several engines. */
	readonly loadedElsewhere: ReadonlySet<string>;
	/** The models of which the engine has a copy in host memory, and those of which it has one on disk. */
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
};
