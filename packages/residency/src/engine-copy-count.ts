/** An engine and the number of its copies. */
export type EngineCopyCount = {
	readonly upstreamId: string;
	/** The number of models of which the engine has a copy. */
	readonly copies: number;
};
