import type {CrashLedger} from './crash-ledger.js';

/** Removes a request from the suspects of all crashes; returns true if it was a suspect of any. */
export const mutateClearedCrashes = (ledger: CrashLedger, fingerprint: string): boolean => {
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		ledger.crashes.get(runId)!.suspects.delete(fingerprint);
	}

	return ledger.runsBySuspect.delete(fingerprint);
};
