/** How much a process keeps in stock of each subject. */
export type StockPolicy = {
	/** Time whose expected demand is kept in stock, in milliseconds. */
	readonly horizonMs: number;
	/** Minimum stock, in requests of mean cost. */
	readonly minRequests: number;
	/** The process borrows more units once its stock is below this share of the target. */
	readonly refillBelowShare: number;
	/** True if the process borrows parts of the rates. */
	readonly areRatesBorrowed: boolean;
};
