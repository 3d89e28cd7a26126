import type {Suspect} from './suspect.js';

/** One crash of an upstream in the crash ledger. */
export type CrashRecord = {
	readonly runId: string;
	/** When the crash was first reported, in monotonic milliseconds. */
	readonly at: number;
	/** Requests that were in progress at the crash, by fingerprint. */
	readonly suspects: Map<string, Suspect>;
	/** True if some gateways may not have reported yet which requests they had in progress at the upstream. */
	isPartial: boolean;
};
