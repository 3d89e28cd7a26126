import type {ModelLoad} from '@valelead/residency';
import type {LoadedModel} from '@valelead/discovery';

/** The summary of an engine's state that is sent to gateways. */
export type EngineSummary = {
	readonly upstreamId: string;
	/** Models that accept requests, each with the number of requests that all gateways have in progress for it. */
	readonly models: ReadonlyArray<LoadedModel & {readonly inProgress: number}>;
	/** Models that are being loaded or are waiting to be loaded, in load order. */
	readonly loads: readonly ModelLoad[];
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
	/** Requests of all gateways that are in progress at the engine, and requests that wait for it. */
	readonly inProgress: number;
	readonly waiting: number;
	/** The fraction of the key-value cache that is in use, from 0 to 1. */
	readonly cacheShare: number;
	/** The speed that gateways have measured, in milliseconds, as in `EngineSpeed`. */
	readonly eventGapMs?: number;
	readonly firstEventMs?: number;
	/** Concurrent fetches that the weight store sustains, as gateways report; 0 if none has measured it. */
	readonly sustainedFetches?: number;
};
