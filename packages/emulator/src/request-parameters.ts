/** Model, lengths and priority of a request to an emulated engine. */
export type RequestParameters = {
	readonly model: string;
	readonly adapter: string;
	/** Prompt tokens that are specific to this request. */
	readonly ownTokens: number;
	/** Prompt tokens of the prefix that all requests of the model share. */
	readonly sharedTokens: number;
	/** Number of tokens that the engine generates for the request. */
	readonly newTokens: number;
	/** Priority in the engine's queue; 0 is the highest. */
	readonly priority: number;
	/** True if the request crashes the engine soon after its first token. */
	readonly isCrashing?: boolean;
};
