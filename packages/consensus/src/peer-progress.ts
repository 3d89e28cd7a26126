/** The leader's record of how far another member has replicated the log. */
export type PeerProgress = {
	nextIndex: number;
	matchIndex: number;
	/** Time at which the leader sent the newest message to which the member has replied, in monotonic milliseconds. */
	ackedSentAt: number;
	/** Time at which this leader began to send messages to the member, in monotonic milliseconds. */
	joinedAt: number;
};
