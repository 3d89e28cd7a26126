/** A class of requests with a common deadline, scheduling weight and queue limit. */
export type RequestClass = {
	readonly name: string;
	/** Time from the arrival of a request until the first chunk of its response must have been received completely, in milliseconds. */
	readonly deadlineMs: number;
	readonly weight: number;
	readonly maxWaiting: number;
};
