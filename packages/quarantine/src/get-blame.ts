import {getBegunScore} from './get-begun-score.js';
import {getSingleCrashScore} from './get-single-crash-score.js';
import {HALF_OPEN_SCORE} from './half-open-score.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';

/**
 * How far a request is blamed for the crashes that it was in progress at.
 * @param getSingleScore - How far it is blamed for one of them; by all that the ledger says where it is left out.
 */
export const getBlame = (
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
