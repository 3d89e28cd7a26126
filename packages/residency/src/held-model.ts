/** A model on an engine with the adapters that are loaded or on their way. */
export type HeldModel = {
	readonly name: string;
	readonly adapters: readonly string[];
};
