/** How many requests of one class were recently dispatched in time. Both counts decay with time. */
export type ClassService = {
	/** The requests that were dispatched while they could still be in time. */
	inTime: number;
	/** Those, and the ones that were not dispatched in time. */
	decided: number;
	/** The latency objective of the class's last counted request, in milliseconds; infinite if it had none. */
	objectiveMs: number;
	/** When the counts were last changed, in monotonic milliseconds. */
	updatedAt: number;
};
