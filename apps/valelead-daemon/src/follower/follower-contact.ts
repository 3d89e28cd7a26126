/** How recent a follower's knowledge is. */
export type FollowerContact = {
	/** Address of the voter to which the session is open; empty before the first session. */
	readonly voterAddress: string;
	/** Version of the routing in force; 0 before the first one. */
	readonly routingVersion: number;
	/** Time since the last update of a leader, in milliseconds. */
	readonly leaderAgeMs: number;
	/** Time since the report on which a leader last confirmed that the routing is the newest, in milliseconds; undefined if none has. */
	readonly confirmedAgeMs: number | undefined;
};
