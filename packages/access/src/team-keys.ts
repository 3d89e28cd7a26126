/** The name of a team and the digests of the keys with which its callers authenticate. */
export type TeamKeys = {
	readonly name: string;
	/** SHA-256 digests of the keys, in hexadecimal. */
	readonly keyHashes: readonly string[];
};
