/** An operator, who authenticates with a key and may use the operator language. */
export type Operator = {
	readonly name: string;
	/** SHA-256 digest of the operator's key in hexadecimal. */
	readonly hash: string;
	readonly canWrite: boolean;
};
