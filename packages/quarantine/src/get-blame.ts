import {getCrashBlame} from './get-crash-blame.js';
import {QUARANTINE_BLAME} from './quarantine-blame.js';
import {RUNNING_BLAME} from './running-blame.js';
import type {CrashLedger} from './crash-ledger.js';

/** What a request keeps of its blame when its quarantine ends by time: one more crash is enough. */
const HALF_OPEN_BLAME = QUARANTINE_BLAME - RUNNING_BLAME;

/** How far a request is blamed for the crashes that it was in progress at. */
export const getBlame = (ledger: CrashLedger, fingerprint: string): number => {
	let blame = ledger.halfOpen.has(fingerprint) ? HALF_OPEN_BLAME : 0;
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		blame += getCrashBlame(ledger, ledger.crashes.get(runId)!, fingerprint);
	}

	return blame;
};
