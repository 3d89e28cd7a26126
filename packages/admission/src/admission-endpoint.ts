/** A VM that can serve a target. */
export type AdmissionEndpoint = {
	readonly vm: string;
	readonly dataCentre: string;
	/**
	 * Requests that this entry may have in progress there at once, where it reaches the upstream itself.
	 * Undefined where an agent issues credits.
	 */
	readonly places?: number;
	/** Requests in progress there that come from other entries, as last reported. */
	readonly othersInProgress?: number;
};
