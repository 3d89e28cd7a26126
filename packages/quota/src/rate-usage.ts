/** Report of a process on its rate loans of one subject. */
export type RateUsage = {
	/** Units per second that the process still holds from other sessions. */
	readonly heldElsewhere: number;
	/** Rate loans of earlier terms that the process still holds and reports in this session for the first time. */
	readonly adoptedPerSecond: number;
	readonly adoptedCapacity: number;
	/** Units per second that the process returns. */
	readonly returnedPerSecond: number;
	/** Units of capacity that the process returns. */
	readonly returnedCapacity: number;
	/** Accumulated units that the process returns. */
	readonly returned: number;
};
