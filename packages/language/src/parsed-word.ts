/** A word of a statement and where it stands. */
export type ParsedWord = {
	readonly text: string;
	/** From 1. */
	readonly column: number;
	/** From 1. */
	readonly line: number;
};
