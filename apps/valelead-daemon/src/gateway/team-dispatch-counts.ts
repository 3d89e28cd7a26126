/** What is dispatched of one team, in dispatches divided by the weight of the team. */
export type TeamDispatchCounts = {
	readonly team: string;
	/** Dispatches of this gateway since its start. */
	readonly own: number;
	/** Dispatches of the other gateways that this gateway knows of, since its start. */
	readonly others: number;
};
