import type {EngineOrder} from './engine-order.js';
import type {HeldModel} from './held-model.js';

/** What an engine holds now. */
export type Holdings = {
	readonly models: readonly HeldModel[];
	/** Whether it carries out an order for a model. */
	readonly isBusy: boolean;
	/** Loads that may begin although they are not ordered of this run of the engine; room is left for them. */
	readonly lateLoads: readonly EngineOrder[];
	/** Models that other engines hold as well: an installation keeps busy models on several. */
	readonly replicated: ReadonlySet<string>;
	/** Models of which it keeps a copy in host memory or on its disk. */
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
};
