import type {LoadedModel} from '@valelead/discovery';

/** What gateways are told of an engine. */
export type EngineSummary = {
	readonly upstreamId: string;
	readonly models: readonly LoadedModel[];
	/** Models that requests wait for. */
	readonly loading: readonly string[];
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
	/** Requests of all gateways. */
	readonly inProgress: number;
	readonly waiting: number;
	/** Part of the key-value cache in use, 0 to 1. */
	readonly cacheShare: number;
};
