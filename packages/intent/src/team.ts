/** Callers that share keys, limits and a share of the service. */
export type Team = {
	readonly name: string;
	/** Share of the service under contention, relative to other teams. */
	readonly weight: number;
	readonly maxInProgress: number;
	readonly maxWaiting: number;
	/** Classes that a request may choose by header; the class of the model is always allowed. */
	readonly classes: readonly string[];
	readonly keys: ReadonlyArray<{readonly name: string; /** SHA-256 in hexadecimal. */ readonly hash: string}>;
	readonly isStopped: boolean;
};
