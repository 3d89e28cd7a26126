import type {CrashLedger} from './crash-ledger.js';
import {mutateRemovedCrash} from './mutate-removed-crash.js';

/** How long a crash counts, in milliseconds. A caller that asks again does so within its own time, minutes at most. */
const CRASH_RETENTION_MS = 600_000;

/** Forgets crashes that happened long ago. */
export const mutateOldCrashes = (ledger: CrashLedger, now: number): void => {
	for (const record of ledger.crashes.values()) {
		if (now - record.at > CRASH_RETENTION_MS) {
			mutateRemovedCrash(ledger, record);
		}
	}
};
