import type {ModelLoad} from '@valelead/residency';
import type {LoadedModel, Upstream} from '@valelead/discovery';

/** What a gateway knows of an upstream that may take requests. */
export type EngineView = {
	readonly upstream: Upstream;
	readonly models: readonly LoadedModel[];
	/** Requests in progress of all gateways by model, where a sidecar tells. */
	readonly inProgressByModel: ReadonlyMap<string, number>;
	/** Models that are being loaded or wait for it, in their order. */
	readonly loads: readonly ModelLoad[];
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
	/** Requests in progress that come from all gateways, as last reported. */
	readonly inProgress: number;
	/** Whether the process that gives it orders is reached and can be told what to load. */
	readonly isManaged: boolean;
};
