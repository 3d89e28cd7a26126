import type {CrashLedger} from './crash-ledger.js';

/** Forgets the crashes that a request is blamed for. Returns whether there were any. */
export const mutateClearedCrashes = (ledger: CrashLedger, fingerprint: string): boolean => {
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		ledger.crashes.get(runId)!.suspects.delete(fingerprint);
	}

	return ledger.runsBySuspect.delete(fingerprint);
};
