import {getBegunBlame} from './get-begun-blame.js';
import {getCrashBlame} from './get-crash-blame.js';
import {HALF_OPEN_BLAME} from './half-open-blame.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/** Blame where nothing of the answer had come: at another gateway a request may have just begun there. */
const UNANSWERED_BLAME = 0.5;

/**
 * How far a request is blamed where only some of the gateways have told what was in progress at the crashed upstreams. Only requests that had just
 * begun are blamed as they are with all that is known.
 * @param isCleared - Whether a leader that knows of a crash does not suspect the request.
 */
export const getPartialBlame = (ledger: CrashLedger, fingerprint: string, isCleared: (runId: string) => boolean = () => false): number => {
	let blame = ledger.halfOpen.has(fingerprint) ? HALF_OPEN_BLAME : 0;
	for (const runId of ledger.runsBySuspect.get(fingerprint) ?? []) {
		const record = ledger.crashes.get(runId)!;
		const crashBlame = getCrashBlame(ledger, record, fingerprint);
		if (record.suspects.get(fingerprint)!.phase === SUSPECT_PHASE.Begun) {
			blame += crashBlame;
		} else if (!isCleared(runId)) {
			blame += Math.min(crashBlame, UNANSWERED_BLAME);
		}
	}

	return Math.max(blame, getBegunBlame(ledger, fingerprint));
};
