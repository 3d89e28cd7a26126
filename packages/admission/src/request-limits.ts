/** Limits in force when a request arrives, as this entry's share of the installation. */
export type RequestLimits = {
	readonly teamInProgress: number;
	readonly teamWaiting: number;
	readonly classWaiting: number;
};
