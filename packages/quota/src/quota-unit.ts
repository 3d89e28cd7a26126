/** Units of a quota. */
export const QUOTA_UNIT = {
	/** Whole requests. */
	Request: 'request',
	/** Tokens of the prompt and the maximum number of tokens to generate. */
	Token: 'token',
} as const;
