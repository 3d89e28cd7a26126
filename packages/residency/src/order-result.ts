/** The results of sending an order to an engine. */
export const ORDER_RESULT = {
	/** The engine is carrying out the order. */
	Accepted: 'accepted',
	/** The engine is already in the requested state. */
	Done: 'done',
	/** Another order is in progress, or the engine's state has changed since the order was decided. */
	Conflict: 'conflict',
	/** The address belongs to another run of the engine, or to another engine. */
	OtherEngine: 'other-engine',
	Rejected: 'rejected',
	/** No reply arrived: the engine may have accepted the order, or may still carry it out later. */
	Unknown: 'unknown',
} as const;
