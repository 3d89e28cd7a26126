/** Where a message to another voter goes. */
export type MessageTarget = {
	readonly id: string;
	readonly address: string;
};
