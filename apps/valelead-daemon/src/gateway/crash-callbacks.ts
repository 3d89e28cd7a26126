/** What the judgement on crashed upstreams asks its gateway, and tells it. */
export type CrashCallbacks = {
	/** Time since the leader was heard, in milliseconds. */
	readonly getLeaderAgeMs: () => number;
	/** Whether nobody listens at an address any more. */
	readonly isPortRefused: (address: string) => Promise<boolean>;
	/** Hears of upstreams that crashed under requests of this gateway, each once. */
	readonly onCrash: () => void;
	/** Hears of what the leader must know of crashed upstreams at once. */
	readonly onCrashNews: () => void;
};
