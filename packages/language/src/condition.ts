/** A comparison in the `where` clause of a `show` statement. */
export type Condition = {
	readonly field: string;
	readonly operator: string;
	readonly value: string;
};
