/** The forecast times of a response from its dispatch, in milliseconds; 0 where too little is known for a forecast. */
export type ResponseForecast = {
	/** The expected time until the response begins. */
	readonly startMs: number;
	/** The shortest time until a response begins: a request that has less time left cannot be in time. */
	readonly shortestStartMs: number;
	/** The shortest time until a response is complete. */
	readonly shortestEndMs: number;
};
