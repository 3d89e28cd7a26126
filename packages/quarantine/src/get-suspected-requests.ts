import type {CrashLedger} from './crash-ledger.js';
import {getCrashScore} from './get-crash-score.js';

/** Maximum number of suspected requests that the leader reports to the gateways: those with the highest crash scores. */
const MAX_SUSPECTED_REQUESTS = 256;

/** Crash score from which the leader reports a request to the gateways; more than the score of a single crash. */
const MIN_REPORTED_SCORE = 1.2;

/** Returns the fingerprints of requests that are suspected but not quarantined, those with the highest crash scores first. */
export const getSuspectedRequests = (ledger: CrashLedger): string[] => [...ledger.runsBySuspect]
	// A single crash never reaches the minimum score, and nearly all requests were in progress at only one crash.
	.filter(([fingerprint, runs]) => (runs.size > 1 || ledger.halfOpen.has(fingerprint)) && !ledger.quarantined.has(fingerprint))
	.map(([fingerprint]) => fingerprint)
	.map(fingerprint => ({fingerprint, blame: getCrashScore(ledger, fingerprint)}))
	.filter(({blame}) => blame >= MIN_REPORTED_SCORE)
	.sort((left, right) => right.blame - left.blame)
	.slice(0, MAX_SUSPECTED_REQUESTS)
	.map(({fingerprint}) => fingerprint);
