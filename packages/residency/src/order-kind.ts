/** What an engine can be ordered to do with a model or adapter. */
export const ORDER_KIND = {
	Load: 'load',
	Unload: 'unload',
} as const;
