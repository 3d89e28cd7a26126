import type {ModelLoad} from '@valelead/residency';
import type {LoadedModel, Upstream} from '@valelead/discovery';

/** A gateway's view of an upstream that may receive requests. */
export type EngineView = {
	readonly upstream: Upstream;
	readonly models: readonly LoadedModel[];
	/** Requests in progress of all gateways by model, as the engine's manager reports them; empty without a report. */
	readonly inProgressByModel: ReadonlyMap<string, number>;
	/** Loads in progress and queued loads, in the order in which the engine carries them out. */
	readonly loads: readonly ModelLoad[];
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
	/** Requests in progress of all gateways, as the engine's manager last reported; 0 without a report. */
	readonly inProgress: number;
	/** Concurrent fetches that the weight store sustains, as the engine's manager last reported; 0 or absent if it reports none. */
	readonly sustainedFetches?: number;
	/** True if the engine's manager, the process that sends it load and unload orders, is connected. */
	readonly isManaged: boolean;
};
