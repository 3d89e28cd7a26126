/** Units of one subject's quota that a process has borrowed in one session with a leader. */
export type SubjectStock = {
	/** Units that requests may still take. */
	free: number;
	/** Units of requests that wait for an upstream to begin them. */
	reserved: number;
	/** Units used since the last report. */
	used: number;
	/** Units to return with the next report. */
	returned: number;
};
