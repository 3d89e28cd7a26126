import {getBlame} from './get-blame.js';
import {getSingleCrashScore} from './get-single-crash-score.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * How far a request is blamed by one gateway, which does not know what others had in progress at the crashed upstreams.
 * @param isCleared - Whether a leader that knows of a crash does not suspect the request.
 */
export const getPartialBlame = (ledger: CrashLedger, fingerprint: string, isCleared: (runId: string) => boolean): number =>
	getBlame(ledger, fingerprint, record => {
		const wasBegun = record.suspects.get(fingerprint)!.phase === SUSPECT_PHASE.Begun;
		return wasBegun || !isCleared(record.runId) ? getSingleCrashScore(ledger, record, fingerprint, true) : 0;
	});
