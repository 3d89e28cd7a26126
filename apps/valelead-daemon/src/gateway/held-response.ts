/** A response of which a part is held in the memory of this process. */
export type HeldResponse = {
	readonly requestId: string;
	/**
	 * Bytes of the response that have been handed to the operating system; undefined while none wait for the caller. The number is unchanged for as
	 * long as the caller reads nothing.
	 */
	readonly sentBytes: number | undefined;
	/** Gives up what is held: fails the attempt whose response is being buffered, or closes the caller's connection. */
	readonly endHeld: (reason: string) => void;
};
