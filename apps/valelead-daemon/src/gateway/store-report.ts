/** What a gateway tells the managers of engines about the weight store. */
export type StoreReport = {
	/** Concurrent fetches that the store sustains, as the gateway has measured; 0 if it has not. */
	readonly sustainedFetches: number;
	/** Fetches that the gateway knows to be in progress on all engines. */
	readonly fetchesInProgress: number;
};
