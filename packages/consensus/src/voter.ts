/** A member of the quorum. Its id is generated when its disk is initialised, and is lost with that disk. */
export type Voter = {
	readonly id: string;
	readonly vm: string;
	readonly address: string;
	/** A learner receives the log but has no vote. */
	readonly isLearner: boolean;
};
