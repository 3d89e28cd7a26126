import type {HeldModel} from './held-model.js';

/** What an engine holds now. */
export type Holdings = {
	readonly models: readonly HeldModel[];
	/** Whether it carries out an order for a model. */
	readonly isBusy: boolean;
	/** Models that other engines hold as well: an installation keeps busy models on several. */
	readonly replicated: ReadonlySet<string>;
	/** Models of which it keeps a copy in host memory or on its disk. */
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
};
