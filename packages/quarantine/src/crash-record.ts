import type {Suspect} from './suspect.js';

/** A crash as the ledger keeps it. */
export type CrashRecord = {
	readonly runId: string;
	/** When it was first heard of, in monotonic milliseconds. */
	readonly at: number;
	readonly suspects: Map<string, Suspect>;
	/** Whether some gateways may not have told yet what was in progress there. */
	isPartial: boolean;
};
