import type {Condition} from './condition.js';
import type {SortKey} from './sort-key.js';

/** A `show` statement: lists the current configuration or state, filtered, sorted and limited. */
export type Show = {
	readonly kind: 'show';
	readonly listing: string;
	readonly conditions: readonly Condition[];
	readonly order: readonly SortKey[];
	readonly limit?: number;
};
