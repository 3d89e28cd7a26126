import type {CrashLedger} from './crash-ledger.js';
import {mutateRemovedCrash} from './mutate-removed-crash.js';

/** Time for which a crash stays in the ledger, in milliseconds. Callers retry within their own timeout, which is some minutes at most. */
const CRASH_RETENTION_MS = 600_000;

/** Removes crashes older than `CRASH_RETENTION_MS` from the ledger. */
export const mutateExpiredCrashes = (ledger: CrashLedger, now: number): void => {
	for (const record of ledger.crashes.values()) {
		if (now - record.at > CRASH_RETENTION_MS) {
			mutateRemovedCrash(ledger, record);
		}
	}
};
