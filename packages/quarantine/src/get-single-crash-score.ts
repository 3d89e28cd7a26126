import {assertNever} from '@valelead/common';
import {RUNNING_SCORE} from './running-score.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';
import type {SuspectPhaseValue} from './suspect-phase-value.js';

/**
 * Each of n requests that share a crash gets the score n to the power of minus this exponent. A lower exponent quarantines harmless requests; a
 * higher one takes longer to quarantine requests that crash upstreams and arrive together.
 */
const SHARING_EXPONENT = 0.3;

/**
 * Score of a request without any response yet, if another request was in phase `SUSPECT_PHASE.Begun` at the same crash: most requests without a
 * response were still queued at the upstream.
 */
const WAITING_SCORE = 0.3;

/** Factor on the scores for a crash at which a quarantined request was in progress too, as that request probably caused the crash. */
const EXPLAINED_CRASH_FACTOR = 0.6;

const countPhase = ({suspects}: CrashRecord, phase: SuspectPhaseValue): number => [...suspects.values()].filter(suspect => suspect.phase === phase).length;

/**
 * Returns the score of a request for one crash by its phase. A crash is attributed to the requests in phase `SUSPECT_PHASE.Begun` or, if there
 * are none, to those in phase `SUSPECT_PHASE.Unanswered`. Several such requests share the score: a request that is in progress at three crashes
 * by chance was never the only suspect, because the request that caused the crash was there too.
 */
const getPhaseScore = (record: CrashRecord, fingerprint: string): number => {
	const {phase} = record.suspects.get(fingerprint)!;
	switch (phase) {
		case SUSPECT_PHASE.Begun: {
			return countPhase(record, phase) ** -SHARING_EXPONENT;
		}

		case SUSPECT_PHASE.Unanswered: {
			return countPhase(record, SUSPECT_PHASE.Begun) > 0 ? WAITING_SCORE : countPhase(record, phase) ** -SHARING_EXPONENT;
		}

		case SUSPECT_PHASE.Running: {
			return RUNNING_SCORE;
		}

		default: {
			return assertNever(phase);
		}
	}
};

/**
 * Highest score for a partially reported crash of a request that was not in phase `SUSPECT_PHASE.Begun`: another gateway may have had a request
 * in this phase at the same upstream.
 */
const MAX_PARTIAL_SCORE = 0.5;

/** True if another request that is quarantined was in progress at the crash. */
const isExplained = (ledger: CrashLedger, record: CrashRecord, fingerprint: string): boolean =>
	[...record.suspects.keys()].some(other => other !== fingerprint && ledger.quarantined.has(other));

/**
 * Returns the score of a request for one crash at which it was in progress.
 * @param isPartial - True if only some gateways have reported their requests in progress at the crash. This does not lower the score of a request
 * that was in phase `SUSPECT_PHASE.Begun`.
 */
export const getSingleCrashScore = (ledger: CrashLedger, record: CrashRecord, fingerprint: string, isPartial = record.isPartial): number => {
	const phaseScore = getPhaseScore(record, fingerprint);
	const score = isExplained(ledger, record, fingerprint) ? phaseScore * EXPLAINED_CRASH_FACTOR : phaseScore;
	const wasBegun = record.suspects.get(fingerprint)!.phase === SUSPECT_PHASE.Begun;
	return isPartial && !wasBegun ? Math.min(score, MAX_PARTIAL_SCORE) : score;
};
