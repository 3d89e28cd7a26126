/** A routing configuration in the form in which the operator sent it, with its version. */
export type StoredRouting = {
	readonly version: number;
	readonly document: string;
};
