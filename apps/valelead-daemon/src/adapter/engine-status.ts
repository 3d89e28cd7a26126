import type {LoadedModel} from '@valelead/discovery';

/** The status that an engine reports when it is polled. */
export type EngineStatus = {
	/** When the engine started, by its own clock, in Unix milliseconds; 0 if it does not report this. */
	readonly bornAt: number;
	readonly models: readonly LoadedModel[];
	/** Adapters that are being loaded, each with its model. */
	readonly pending: ReadonlyArray<{readonly model: string; readonly adapter: string}>;
	/** True while the engine is loading or unloading a model. */
	readonly isBusy: boolean;
	/** Counter that increases with every order that the engine accepts. */
	readonly orderSequence: number;
	readonly queued: number;
	readonly active: number;
	readonly cacheUsedTokens: number;
	readonly cacheTokens: number;
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
};
