/** The models that an engine can load without the weight store: those that are loaded and those with a copy in host memory or on disk. */
export type EngineCopies = {
	readonly upstreamId: string;
	readonly models: ReadonlySet<string>;
	/** The subset of `models` that is loaded. */
	readonly loaded: ReadonlySet<string>;
};
