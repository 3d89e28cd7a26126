/** The reasons for which the next load of an engine is not ordered yet. */
export const LOAD_DELAY = {
	/** Requests use or wait for every model that is loaded on the engine, so none can be evicted. */
	NoIdleModel: 'no-idle-model',
	/** The load is a fetch from the weight store and would displace loads from copies that are worth more. */
	CopiesFirst: 'copies-first',
} as const;
