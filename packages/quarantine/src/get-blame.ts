import {getBegunBlame} from './get-begun-blame.js';
import {getCrashBlame} from './get-crash-blame.js';
import {HALF_OPEN_BLAME} from './half-open-blame.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';

/**
 * How far a request is blamed for the crashes that it was in progress at.
 * @param getBlameFor - How far it is blamed for one of them; by all that the ledger says where it is left out.
 */
export const getBlame = (
	ledger: CrashLedger,
	fingerprint: string,
	getBlameFor: (record: CrashRecord) => number = record => getCrashBlame(ledger, record, fingerprint),
): number => {
	let blame = ledger.halfOpen.has(fingerprint) ? HALF_OPEN_BLAME : 0;
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		blame += getBlameFor(ledger.crashes.get(runId)!);
	}

	return Math.max(blame, getBegunBlame(ledger, fingerprint));
};
