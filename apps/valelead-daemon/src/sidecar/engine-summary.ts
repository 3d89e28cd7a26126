import type {ModelLoad} from '@valelead/residency';
import type {LoadedModel} from '@valelead/discovery';

/** What gateways are told of an engine. */
export type EngineSummary = {
	readonly upstreamId: string;
	/** What is offered, with the requests in progress of all gateways for each model. */
	readonly models: ReadonlyArray<LoadedModel & {readonly inProgress: number}>;
	/** Models that are being loaded or wait for it, in their order. */
	readonly loads: readonly ModelLoad[];
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
	/** Requests of all gateways. */
	readonly inProgress: number;
	readonly waiting: number;
	/** Part of the key-value cache in use, 0 to 1. */
	readonly cacheShare: number;
};
