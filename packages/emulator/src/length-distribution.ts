/** Log-normal distribution of the lengths of prompts or responses, in tokens. */
export type LengthDistribution = {
	readonly mean: number;
	/** Standard deviation of the logarithm of the length. */
	readonly spread: number;
	readonly max: number;
};
