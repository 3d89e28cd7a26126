/** A word of a statement, with its position in the text. */
export type ParsedWord = {
	readonly text: string;
	/** Column, counted from 1. */
	readonly column: number;
	/** Line, counted from 1. */
	readonly line: number;
};
