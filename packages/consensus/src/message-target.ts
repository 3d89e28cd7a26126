/** The recipient of a message between voters. */
export type MessageTarget = {
	readonly id: string;
	readonly address: string;
};
