/** A VM that can serve the requests of a target. */
export type AdmissionEndpoint = {
	readonly vm: string;
	readonly dataCentre: string;
	/**
	 * The maximum number of requests that this entry may have in progress at the VM, if it reaches the upstream directly.
	 * Undefined if an agent on the VM limits requests by granting credits.
	 */
	readonly concurrencyLimit?: number;
	/** The number of requests of other entries that are in progress at the VM, as last reported. */
	readonly otherEntriesInProgress?: number;
};
