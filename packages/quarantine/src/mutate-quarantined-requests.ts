import type {CrashLedger} from './crash-ledger.js';
import {getCrashScore} from './get-crash-score.js';
import {QUARANTINE_SCORE} from './quarantine-score.js';

type ScoreFunction = (fingerprint: string) => number;

/** Returns the request with the highest crash score, or undefined if no request reaches the quarantine threshold. */
const getHighestScored = (ledger: CrashLedger, fingerprints: Iterable<string>, getScore: ScoreFunction): string | undefined => {
	let highest: string | undefined;
	let highestScore = 0;
	for (const fingerprint of fingerprints) {
		const score = ledger.quarantined.has(fingerprint) ? 0 : getScore(fingerprint);
		if (score >= QUARANTINE_SCORE && score > highestScore) {
			highest = fingerprint;
			highestScore = score;
		}
	}

	return highest;
};

/**
 * Quarantines those of the given requests whose crash score reaches the quarantine threshold, and returns their fingerprints. The highest score
 * goes first, because each quarantined request lowers the scores of other requests that were in progress at the same crashes.
 * @param fingerprints - Requests with new evidence.
 * @param getScore - Returns the crash score of a request; by default, it uses all that the ledger holds.
 */
export const mutateQuarantinedRequests = (
	ledger: CrashLedger,
	fingerprints: readonly string[],
	getScore: ScoreFunction = fingerprint => getCrashScore(ledger, fingerprint),
): string[] => {
	const quarantined: string[] = [];
	let next = getHighestScored(ledger, fingerprints, getScore);
	while (next !== undefined) {
		ledger.quarantined.add(next);
		quarantined.push(next);
		next = getHighestScored(ledger, fingerprints, getScore);
	}

	return quarantined;
};
