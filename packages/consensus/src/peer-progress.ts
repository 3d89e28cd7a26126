/** What the leader knows of another member. */
export type PeerProgress = {
	nextIndex: number;
	matchIndex: number;
	/** The leader's time of sending the newest message that was answered. */
	ackedSentAt: number;
	/** When this leader began to send to it. */
	joinedAt: number;
};
