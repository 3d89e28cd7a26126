/** How long requests may take and what their waiting costs. */
export type RequestClass = {
	readonly name: string;
	/** Time from arrival to the end of the answer's first part, in milliseconds. */
	readonly deadlineMs: number;
	readonly weight: number;
	readonly maxWaiting: number;
};
