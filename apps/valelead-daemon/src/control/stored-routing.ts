/** A routing configuration as its operator sent it. */
export type StoredRouting = {
	readonly version: number;
	readonly document: string;
};
