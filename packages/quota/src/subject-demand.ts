/** What a process is asked for by one subject, lately. */
export type SubjectDemand = {
	/** Units of the requests that came, fading away. */
	amount: number;
	at: number;
};
