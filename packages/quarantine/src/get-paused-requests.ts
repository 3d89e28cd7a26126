import {getBegunRuns} from './get-begun-runs.js';
import type {CrashLedger} from './crash-ledger.js';

/** Returns the fingerprints of requests that were in phase `SUSPECT_PHASE.Begun` at `minCrashes` crashes or more and are not quarantined. */
export const getPausedRequests = (ledger: CrashLedger, minCrashes: number): string[] =>
	[...ledger.runsBySuspect.keys()].filter(fingerprint => !ledger.quarantined.has(fingerprint) && getBegunRuns(ledger, fingerprint).length >= minCrashes);
