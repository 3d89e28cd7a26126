/** A model that is loaded on an engine, with its adapters that are loaded or being loaded. */
export type ResidentModel = {
	readonly name: string;
	readonly adapters: readonly string[];
};
