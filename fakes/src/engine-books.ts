/** What a stand-in engine records of itself, so that tests can ask it what really happened. */
export type EngineBooks = {
	/** Attempt ids of requests that ran, in order. */
	readonly ran: string[];
	readonly orders: Array<{readonly kind: 'load' | 'unload'; readonly unit: string; readonly fence: number; readonly isRefused: boolean}>;
	peakMemoryBytes: number;
	inProgress: number;
	peakInProgress: number;
};
