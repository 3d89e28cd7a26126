/** A model that an engine holds, with the adapters loaded on it. */
export type LoadedModel = {
	readonly name: string;
	readonly version: number;
	readonly adapters: readonly string[];
};
