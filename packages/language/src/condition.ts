/** A condition of a listing. */
export type Condition = {
	readonly field: string;
	readonly operator: string;
	readonly value: string;
};
