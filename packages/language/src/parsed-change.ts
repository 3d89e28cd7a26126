import type {ParsedAttribute} from './parsed-attribute.js';
import type {ParsedWord} from './parsed-word.js';

/** A statement that changes something, before its words are checked. */
export type ParsedChange = {
	readonly kind: 'change';
	readonly verb: ParsedWord;
	readonly object: ParsedWord;
	readonly name: ParsedWord;
	/** The object that it belongs to, such as the model of an adapter. */
	readonly ownerObject: ParsedWord | undefined;
	readonly ownerName: ParsedWord | undefined;
	readonly attributes: readonly ParsedAttribute[];
};
