/** A model that an engine has loaded, with the adapters loaded on it. */
export type LoadedModel = {
	readonly name: string;
	readonly version: number;
	readonly adapters: readonly string[];
};
