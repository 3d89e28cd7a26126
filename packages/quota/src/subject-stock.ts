/** What a process holds of one subject's quota, from one session with one leader. */
export type SubjectStock = {
	/** Units that requests may still take. */
	free: number;
	/** Units of requests that wait for an upstream. */
	reserved: number;
	/** Units that were used and that were given back since the last report. */
	used: number;
	returned: number;
};
