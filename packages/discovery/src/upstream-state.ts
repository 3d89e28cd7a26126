/** What an upstream says of itself. */
export const UPSTREAM_STATE = {
	Ready: 'ready',
	/** Finishes what it has and takes no new work. */
	Draining: 'draining',
	/** Not heard of for too long; usable again once it announces itself. */
	Silent: 'silent',
	/** Has left for good. */
	Gone: 'gone',
} as const;
