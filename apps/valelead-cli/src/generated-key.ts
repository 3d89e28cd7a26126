/** A key that the tool generated. It is printed once and not stored. */
export type GeneratedKey = {
	readonly name: string;
	readonly key: string;
};
