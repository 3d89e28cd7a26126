/** An `explain` statement: asks why a model is or is not loaded. */
export type Explain = {
	readonly kind: 'explain';
	readonly model: string;
};
