/** What an engine made of an order. */
export const ORDER_RESULT = {
	/** It is being carried out. */
	Accepted: 'accepted',
	/** What was ordered is so already. */
	Done: 'done',
	/** Another order is in progress, or the engine's state has changed since the order was decided. */
	Conflict: 'conflict',
	/** Another run of the engine, or another engine, is at the address. */
	OtherEngine: 'other-engine',
	Rejected: 'rejected',
	/** No answer: the order may have been taken, or may be carried out later. */
	Unknown: 'unknown',
} as const;
