import type {LoadedModel} from '@valelead/discovery';

/** What an engine tells of itself. */
export type EngineStatus = {
	/** When its run started, by its own clock, in Unix milliseconds; 0 where it does not tell. */
	readonly bornAt: number;
	readonly models: readonly LoadedModel[];
	/** Adapters on their way, as model and adapter. */
	readonly pending: ReadonlyArray<{readonly model: string; readonly adapter: string}>;
	/** Whether it carries out an order for a model. */
	readonly isBusy: boolean;
	/** Rises with every order that it takes. */
	readonly orderSequence: number;
	readonly queued: number;
	readonly active: number;
	readonly cacheUsedTokens: number;
	readonly cacheTokens: number;
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
};
