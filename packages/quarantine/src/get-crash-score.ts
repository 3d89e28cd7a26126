import {getBegunScore} from './get-begun-score.js';
import {getSingleCrashScore} from './get-single-crash-score.js';
import {HALF_OPEN_SCORE} from './half-open-score.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';

/**
 * Returns the crash score of a request: how strongly the recorded crashes suggest that the request causes them. The score is a sum over the
 * crashes at which the request was in progress; each of them adds at most 1. After an expired quarantine, the score starts from
 * `HALF_OPEN_SCORE`.
 * @param getSingleScore - Returns the score of the request for one crash; by default, it uses all that the ledger holds.
 */
export const getCrashScore = (
	ledger: CrashLedger,
	fingerprint: string,
	getSingleScore: (record: CrashRecord) => number = record => getSingleCrashScore(ledger, record, fingerprint),
): number => {
	let score = ledger.halfOpen.has(fingerprint) ? HALF_OPEN_SCORE : 0;
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		score += getSingleScore(ledger.crashes.get(runId)!);
	}

	return Math.max(score, getBegunScore(ledger, fingerprint));
};
