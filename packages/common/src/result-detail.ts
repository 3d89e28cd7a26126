/** How a result code is presented to callers and operators. */
export type ResultDetail = {
	readonly name: string;
	/** HTTP status that carries the code. */
	readonly status: number;
	readonly meaning: string;
	readonly action: string;
};
