import {getBegunRuns} from './get-begun-runs.js';
import type {CrashLedger} from './crash-ledger.js';

/** Requests that had just begun at this many crashes or more and are not quarantined. */
export const getPaused = (ledger: CrashLedger, minCrashes: number): string[] =>
	[...ledger.runsBySuspect.keys()].filter(fingerprint => !ledger.quarantined.has(fingerprint) && getBegunRuns(ledger, fingerprint).length >= minCrashes);
