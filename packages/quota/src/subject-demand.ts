/** Recent demand of one subject at a process. */
export type SubjectDemand = {
	/** Units of past requests at the time `at`, decayed exponentially by `DEMAND_DECAY_MS`. */
	amount: number;
	/** Time of the last request, in monotonic milliseconds. */
	at: number;
};
