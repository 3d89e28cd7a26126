import {assertNever} from '@valelead/common';
import {RUNNING_SCORE} from './running-score.js';
import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';
import type {SuspectPhaseValue} from './suspect-phase-value.js';

/**
 * Requests that share a crash are blamed by their number to the minus this: less judges innocent ones, more leaves guilty ones that come together
 * unjudged for longer.
 */
const SHARING_EXPONENT = 0.3;

/** Blame where nothing of the answer had come, beside a request that had just begun: most of these were waiting. */
const WAITING_SCORE = 0.3;

/** The share of the blame that is left to the others where a quarantined request was in progress too. */
const EXPLAINED_CRASH_FACTOR = 0.6;

const countPhase = ({suspects}: CrashRecord, phase: SuspectPhaseValue): number => [...suspects.values()].filter(suspect => suspect.phase === phase).length;

/**
 * A crash is laid to the requests that had just begun, or where there are none to those without a part of an answer. Several share it: one that
 * meets three crashes by chance was never there alone, as the guilty one was there too.
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

/** Blame where nothing of the answer had come: at another gateway a request may have just begun there. */
const MAX_PARTIAL_SCORE = 0.5;

const isExplained = (ledger: CrashLedger, record: CrashRecord, fingerprint: string): boolean =>
	[...record.suspects.keys()].some(other => other !== fingerprint && ledger.quarantined.has(other));

/**
 * How far a request is blamed for one crash that it was in progress at.
 * @param isPartial - Whether only some of the gateways have told what was in progress there. Who had just begun is blamed as with all that is known.
 */
export const getSingleCrashScore = (ledger: CrashLedger, record: CrashRecord, fingerprint: string, isPartial = record.isPartial): number => {
	const phaseScore = getPhaseScore(record, fingerprint);
	const score = isExplained(ledger, record, fingerprint) ? phaseScore * EXPLAINED_CRASH_FACTOR : phaseScore;
	const wasBegun = record.suspects.get(fingerprint)!.phase === SUSPECT_PHASE.Begun;
	return isPartial && !wasBegun ? Math.min(score, MAX_PARTIAL_SCORE) : score;
};
