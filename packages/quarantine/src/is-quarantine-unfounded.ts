import {getCrashScore} from './get-crash-score.js';
import {QUARANTINE_SCORE} from './quarantine-score.js';
import type {CrashLedger} from './crash-ledger.js';

/** A quarantine decision is revoked if the crash score falls below this share of the score that it required. */
const MIN_SCORE_SHARE = 0.5;

/**
 * True if the crash score of a quarantined request has fallen below half the quarantine threshold after further reports on its crashes. Requests
 * that crash upstreams together share the score but keep more than half of it.
 */
export const isQuarantineUnfounded = (ledger: CrashLedger, fingerprint: string): boolean =>
	ledger.quarantined.has(fingerprint) && getCrashScore(ledger, fingerprint) < QUARANTINE_SCORE * MIN_SCORE_SHARE;
