/** The states of an upstream in the directory. */
export const UPSTREAM_STATE = {
	Ready: 'ready',
	/** Completes its requests in progress and accepts no new ones. */
	Draining: 'draining',
	/** Has not announced itself for too long; usable again once it does. */
	Silent: 'silent',
	/** Has departed or been replaced by another run. */
	Gone: 'gone',
} as const;
