import type {CrashLedger} from './crash-ledger.js';
import {mutateClearedCrashes} from './mutate-cleared-crashes.js';
import {mutateLastServedTimes} from './mutate-last-served-times.js';

/**
 * Records that an upstream answered a request completely, which ends its quarantine and resets its crash score. Returns true if the request was
 * quarantined, half open or in progress at a recorded crash.
 */
export const mutateServedRequest = (ledger: CrashLedger, fingerprint: string, now: number): boolean => {
	mutateLastServedTimes(ledger.lastServedTimes, fingerprint, now);
	const wasHalfOpen = ledger.halfOpen.delete(fingerprint);
	const wasQuarantined = ledger.quarantined.delete(fingerprint);
	return mutateClearedCrashes(ledger, fingerprint) || wasHalfOpen || wasQuarantined;
};
