/** A caller's stream over all of its attempts. */
export type SimulatedStream = {
	readonly name: string;
	/** `service/version` of the engine of each event that the caller holds. */
	readonly sources: string[];
	lastEvent: number;
	/** The attempt that brought the first event; empty before it. */
	firstAttempt: string;
	attempts: number;
	isWhole: boolean;
	/** True if an event was missing or came twice. */
	isBroken: boolean;
};
