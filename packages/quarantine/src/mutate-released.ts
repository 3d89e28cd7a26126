import {mutateClearedCrashes} from './mutate-cleared-crashes.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Ends the quarantine of a request and forgets what it is blamed for.
 * @param isHalfOpen - Whether one more crash is to be enough; false where an operator takes the judgement back.
 */
export const mutateReleased = (ledger: CrashLedger, fingerprint: string, isHalfOpen: boolean): void => {
	ledger.quarantined.delete(fingerprint);
	mutateClearedCrashes(ledger, fingerprint);
	if (isHalfOpen) {
		ledger.halfOpen.add(fingerprint);
	} else {
		ledger.halfOpen.delete(fingerprint);
	}
};
