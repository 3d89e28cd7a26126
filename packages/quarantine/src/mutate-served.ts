import type {CrashLedger} from './crash-ledger.js';
import {mutateClearedCrashes} from './mutate-cleared-crashes.js';
import {mutateLastServedTimes} from './mutate-last-served-times.js';

/** Takes that an upstream answered a request whole: it is blamed for nothing any more. Returns whether it was. */
export const mutateServed = (ledger: CrashLedger, fingerprint: string, now: number): boolean => {
	mutateLastServedTimes(ledger.served, fingerprint, now);
	const wasHalfOpen = ledger.halfOpen.delete(fingerprint);
	const wasQuarantined = ledger.quarantined.delete(fingerprint);
	return mutateClearedCrashes(ledger, fingerprint) || wasHalfOpen || wasQuarantined;
};
