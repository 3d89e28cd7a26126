/** The requests of a team at this entry, and the service that the team has received. */
export type TeamUsage = {
	waiting: number;
	inProgress: number;
	/** The number of dispatched requests of the team divided by its weight, which orders teams for fair queueing. */
	virtualTime: number;
};
