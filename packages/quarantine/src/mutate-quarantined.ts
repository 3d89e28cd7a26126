import type {CrashLedger} from './crash-ledger.js';
import {getBlame} from './get-blame.js';
import {QUARANTINE_BLAME} from './quarantine-blame.js';

type ScoreFunction = (fingerprint: string) => number;

/** The most blamed of the requests that are blamed enough. */
const getHighestScored = (ledger: CrashLedger, fingerprints: Iterable<string>, getScore: ScoreFunction): string | undefined => {
	let highest: string | undefined;
	let highestScore = 0;
	for (const fingerprint of fingerprints) {
		const score = ledger.quarantined.has(fingerprint) ? 0 : getScore(fingerprint);
		if (score >= QUARANTINE_BLAME && score > highestScore) {
			highest = fingerprint;
			highestScore = score;
		}
	}

	return highest;
};

/**
 * Quarantines those of the requests that are blamed enough, and returns them. The most blamed goes first, as it explains crashes that others
 * were merely beside.
 * @param fingerprints - The requests of which something new is known.
 * @param getScore - How far a request is blamed; by all that the ledger says where it is left out.
 */
export const mutateQuarantined = (
	ledger: CrashLedger,
	fingerprints: readonly string[],
	getScore: ScoreFunction = fingerprint => getBlame(ledger, fingerprint),
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
