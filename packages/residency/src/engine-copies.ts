/** The models that an engine holds or keeps a copy of. */
export type EngineCopies = {
	readonly upstreamId: string;
	readonly models: ReadonlySet<string>;
	/** Those that are loaded. */
	readonly held: ReadonlySet<string>;
};
