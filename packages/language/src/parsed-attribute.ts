import type {ParsedWord} from './parsed-word.js';

/** An attribute of a statement, with its values before they are validated. */
export type ParsedAttribute = {
	readonly name: ParsedWord;
	readonly values: readonly ParsedWord[];
};
