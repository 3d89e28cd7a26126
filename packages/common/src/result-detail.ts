/** The description of a result code for callers and operators. */
export type ResultDetail = {
	readonly name: string;
	/** HTTP status of a response with this result code. */
	readonly status: number;
	readonly meaning: string;
	readonly action: string;
};
