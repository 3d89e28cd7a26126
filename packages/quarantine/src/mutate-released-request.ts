import {mutateClearedCrashes} from './mutate-cleared-crashes.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Ends the quarantine of a request and removes the crashes that counted against it.
 * @param isHalfOpen - True if one more crash shall quarantine the request again; false if an operator releases it.
 */
export const mutateReleasedRequest = (ledger: CrashLedger, fingerprint: string, isHalfOpen: boolean): void => {
	ledger.quarantined.delete(fingerprint);
	mutateClearedCrashes(ledger, fingerprint);
	if (isHalfOpen) {
		ledger.halfOpen.add(fingerprint);
	} else {
		ledger.halfOpen.delete(fingerprint);
	}
};
