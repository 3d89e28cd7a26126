/** How far all processes together may exceed a quota; they need the tolerance because each decides without asking the leader every time. */
export type QuotaTolerance = {
	/** Length of the window over which usage is counted, in milliseconds. */
	readonly windowMs: number;
	/** Allowed excess in a window, as a share of what the quota allows in it. */
	readonly overshoot: number;
	/** Allowed excess in a window beyond `overshoot`, in units. */
	readonly slack: number;
};
