/** A field and direction in the `order by` clause of a `show` statement. */
export type SortKey = {
	readonly field: string;
	readonly isDescending: boolean;
};
