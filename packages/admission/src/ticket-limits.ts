/** Limits in force when a request arrives, as this entry's share of the installation. */
export type TicketLimits = {
	readonly teamInProgress: number;
	readonly teamWaiting: number;
	readonly classWaiting: number;
};
