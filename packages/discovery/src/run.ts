/** One run of an upstream: one process lifetime. An upstream that restarts may keep its id, but no models or state of its previous run. */
export type Run = {
	/** The id that the upstream reports for itself; it may be the same in all runs. */
	readonly instanceId: string;
	/** When the run started, by the upstream's own clock, in Unix milliseconds; 0 if not reported. Only compared among runs with the same id. */
	readonly bornAt: number;
};
