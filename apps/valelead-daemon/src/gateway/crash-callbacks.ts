import type {Address} from '@valelead/common';

/** Functions of the gateway that the detection and quarantine of crashing requests calls. */
export type CrashCallbacks = {
	/** Returns the time since the last message of the leader, in milliseconds. */
	readonly getLeaderAgeMs: () => number;
	/** Resolves with true if no process listens at an address any more. */
	readonly isPortRefused: (address: Address) => Promise<boolean>;
	/** Called once for each upstream that crashed while it processed requests of this gateway. */
	readonly onCrash: () => void;
	/** Called when news of crashed upstreams must be reported to the leader immediately. */
	readonly onCrashReportDue: () => void;
};
