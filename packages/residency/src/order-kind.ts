/** The kinds of orders that an engine can receive for a model or an adapter. */
export const ORDER_KIND = {
	Load: 'load',
	Unload: 'unload',
} as const;
