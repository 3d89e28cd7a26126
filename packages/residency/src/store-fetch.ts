/** A load from the weight store that is in progress on an engine. */
export type StoreFetch = {
	readonly upstreamId: string;
	readonly model: string;
	/** The elapsed time of the fetch, relative to the configured load time from an otherwise idle weight store. */
	readonly pace: number;
};
