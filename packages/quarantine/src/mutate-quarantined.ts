import type {CrashLedger} from './crash-ledger.js';
import {getBlame} from './get-blame.js';
import {QUARANTINE_BLAME} from './quarantine-blame.js';

type BlameOf = (fingerprint: string) => number;

/** The most blamed of the requests that are blamed enough. */
const getMostBlamed = (ledger: CrashLedger, fingerprints: Iterable<string>, getBlameOf: BlameOf): string | undefined => {
	let most: string | undefined;
	let mostBlame = 0;
	for (const fingerprint of fingerprints) {
		const blame = ledger.quarantined.has(fingerprint) ? 0 : getBlameOf(fingerprint);
		if (blame >= QUARANTINE_BLAME && blame > mostBlame) {
			most = fingerprint;
			mostBlame = blame;
		}
	}

	return most;
};

/**
 * Quarantines those of the requests that are blamed enough, and returns them. The most blamed goes first, as it explains crashes that others
 * were merely beside.
 * @param fingerprints - The requests of which something new is known.
 * @param getBlameOf - How far a request is blamed; by all that the ledger says where it is left out.
 */
export const mutateQuarantined = (
	ledger: CrashLedger,
	fingerprints: readonly string[],
	getBlameOf: BlameOf = fingerprint => getBlame(ledger, fingerprint),
): string[] => {
	const quarantined: string[] = [];
	let next = getMostBlamed(ledger, fingerprints, getBlameOf);
	while (next !== undefined) {
		ledger.quarantined.add(next);
		quarantined.push(next);
		next = getMostBlamed(ledger, fingerprints, getBlameOf);
	}

	return quarantined;
};
