import {getBegunBlame} from './get-begun-blame.js';
import {getCrashBlame} from './get-crash-blame.js';
import {HALF_OPEN_BLAME} from './half-open-blame.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * How far a request is blamed by one gateway, which does not know what others had in progress at the crashed upstreams.
 * @param isCleared - Whether a leader that knows of a crash does not suspect the request.
 */
export const getPartialBlame = (ledger: CrashLedger, fingerprint: string, isCleared: (runId: string) => boolean): number => {
	let blame = ledger.halfOpen.has(fingerprint) ? HALF_OPEN_BLAME : 0;
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		const record = ledger.crashes.get(runId)!;
		const hadBegun = record.suspects.get(fingerprint)!.phase === SUSPECT_PHASE.Begun;
		if (hadBegun || !isCleared(runId)) {
			blame += getCrashBlame(ledger, record, fingerprint, true);
		}
	}

	return Math.max(blame, getBegunBlame(ledger, fingerprint));
};
