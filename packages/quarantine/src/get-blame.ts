import {getBegunBlame} from './get-begun-blame.js';
import {getCrashBlame} from './get-crash-blame.js';
import {HALF_OPEN_BLAME} from './half-open-blame.js';
import type {CrashLedger} from './crash-ledger.js';

/** How far a request is blamed for the crashes that it was in progress at. */
export const getBlame = (ledger: CrashLedger, fingerprint: string): number => {
	let blame = ledger.halfOpen.has(fingerprint) ? HALF_OPEN_BLAME : 0;
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		blame += getCrashBlame(ledger, ledger.crashes.get(runId)!, fingerprint);
	}

	return Math.max(blame, getBegunBlame(ledger, fingerprint));
};
