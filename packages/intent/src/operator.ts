/** Someone who may use the operator language. */
export type Operator = {
	readonly name: string;
	/** SHA-256 of the key in hexadecimal. */
	readonly hash: string;
	readonly canWrite: boolean;
};
