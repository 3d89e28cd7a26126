/** The place of a request among those of its connection. */
export type CallerPlace = {
	/** Resolves with true once all responses before it on the connection have been sent, and with false if the connection ends before. */
	readonly turn: Promise<boolean>;
	/** Returns true if no other request has arrived on the connection since. */
	readonly isLatest: () => boolean;
};
