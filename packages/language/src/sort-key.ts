/** A field that a listing is ordered by. */
export type SortKey = {
	readonly field: string;
	readonly isDescending: boolean;
};
