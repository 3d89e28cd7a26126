import type {Condition} from './condition.js';
import type {SortKey} from './sort-key.js';

/** A statement that lists what is in force. */
export type Show = {
	readonly kind: 'show';
	readonly listing: string;
	readonly conditions: readonly Condition[];
	readonly order: readonly SortKey[];
	readonly limit?: number;
};
