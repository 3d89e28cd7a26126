/** A key that the tool made; it is shown once. */
export type GeneratedKey = {
	readonly name: string;
	readonly key: string;
};
