/** A token bucket that is a part of a subject's bucket. */
export type Rate = {
	/** Units per second that are added to it. */
	readonly perSecond: number;
	/** Units that it holds at most. */
	readonly capacity: number;
};
