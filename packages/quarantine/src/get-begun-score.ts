import {BEGUN_CRASH_THRESHOLD} from './begun-crash-threshold.js';
import {QUARANTINE_SCORE} from './quarantine-score.js';
import {getBegunRuns} from './get-begun-runs.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Returns the quarantine threshold as the score of a request that was in phase `SUSPECT_PHASE.Begun` at `BEGUN_CRASH_THRESHOLD` crashes and in
 * phase `SUSPECT_PHASE.Running` at none, and 0 otherwise. Requests that crash upstreams and arrive together share each crash, so the sum of their
 * scores for single crashes grows slowly. A harmless request is not in phase `SUSPECT_PHASE.Begun` at three of their crashes: it is not retried
 * on a second upstream after such a crash, and on upstreams without such requests it reaches the phase `SUSPECT_PHASE.Running`.
 */
export const getBegunScore = (ledger: CrashLedger, fingerprint: string): number =>
	getBegunRuns(ledger, fingerprint).length >= BEGUN_CRASH_THRESHOLD ? QUARANTINE_SCORE : 0;
