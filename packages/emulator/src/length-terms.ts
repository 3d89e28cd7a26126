/** How long prompts or answers are. */
export type LengthTerms = {
	readonly mean: number;
	/** The standard deviation of the logarithm. */
	readonly spread: number;
	readonly max: number;
};
