import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';

/** Removes a crash from the ledger. */
export const mutateRemovedCrash = (ledger: CrashLedger, {runId, suspects}: CrashRecord): void => {
	ledger.crashes.delete(runId);
	for (const fingerprint of suspects.keys()) {
		const runs = ledger.runsBySuspect.get(fingerprint);
		runs?.delete(runId);
		if (runs?.size === 0) {
			ledger.runsBySuspect.delete(fingerprint);
		}
	}
};
