/** A member of the quorum. Its id is made on its disk and lost with it. */
export type Voter = {
	readonly id: string;
	readonly vm: string;
	readonly address: string;
	/** A learner receives the log but has no vote. */
	readonly isLearner: boolean;
};
