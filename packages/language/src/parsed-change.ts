import type {ParsedAttribute} from './parsed-attribute.js';
import type {ParsedWord} from './parsed-word.js';

/** A parsed statement that changes the configuration, before its words are validated. */
export type ParsedChange = {
	readonly kind: 'change';
	readonly verb: ParsedWord;
	readonly object: ParsedWord;
	readonly name: ParsedWord;
	/** Type of the object that the changed object belongs to, such as the model of an adapter. */
	readonly ownerObject: ParsedWord | undefined;
	readonly ownerName: ParsedWord | undefined;
	readonly attributes: readonly ParsedAttribute[];
};
