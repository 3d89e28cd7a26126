import {getCrashScore} from './get-crash-score.js';
import {getSingleCrashScore} from './get-single-crash-score.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Returns the crash score of a request as a single gateway computes it, without knowing which requests other gateways had in progress at the
 * crashed upstreams.
 * @param isCleared - Returns true if the leader knows of the crash of a run and does not suspect the request. Such a crash counts only if the
 * request was in phase `SUSPECT_PHASE.Begun`.
 */
export const getLocalCrashScore = (ledger: CrashLedger, fingerprint: string, isCleared: (runId: string) => boolean): number =>
	getCrashScore(ledger, fingerprint, record => {
		const wasBegun = record.suspects.get(fingerprint)!.phase === SUSPECT_PHASE.Begun;
		return wasBegun || !isCleared(record.runId) ? getSingleCrashScore(ledger, record, fingerprint, true) : 0;
	});
