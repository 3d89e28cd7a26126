/** A team: callers that share API keys, limits and a scheduling weight. */
export type Team = {
	readonly name: string;
	/** Relative share of the capacity that the team gets when several teams compete for it. */
	readonly weight: number;
	readonly maxInProgress: number;
	readonly maxWaiting: number;
	/** Request classes that the team's callers may choose by a header. The class of the model is always allowed. */
	readonly classes: readonly string[];
	readonly keys: ReadonlyArray<{readonly name: string; /** SHA-256 digest of the key in hexadecimal. */ readonly hash: string}>;
	readonly isStopped: boolean;
};
