import type {CrashLedger} from './crash-ledger.js';
import {getBlame} from './get-blame.js';

/** Suspected requests that are told to others at most: the most blamed. */
const MAX_SUSPECTED_REQUESTS = 256;

/** The blame from which others are told of a request: more than one crash. */
const MIN_REPORTED_SCORE = 1.2;

/** Requests that are blamed for more than one crash and not quarantined, the most blamed first. */
export const getSuspected = (ledger: CrashLedger): string[] => [...ledger.runsBySuspect]
	// One crash alone is never enough, and nearly all were at one only.
	.filter(([fingerprint, runs]) => (runs.size > 1 || ledger.halfOpen.has(fingerprint)) && !ledger.quarantined.has(fingerprint))
	.map(([fingerprint]) => fingerprint)
	.map(fingerprint => ({fingerprint, blame: getBlame(ledger, fingerprint)}))
	.filter(({blame}) => blame >= MIN_REPORTED_SCORE)
	.sort((left, right) => right.blame - left.blame)
	.slice(0, MAX_SUSPECTED_REQUESTS)
	.map(({fingerprint}) => fingerprint);
