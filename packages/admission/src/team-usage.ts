/** What a team uses of this entry. */
export type TeamUsage = {
	waiting: number;
	inProgress: number;
	/** Service received, divided by the team's weight. */
	virtualTime: number;
};
