import {getBlame} from './get-blame.js';
import {QUARANTINE_BLAME} from './quarantine-blame.js';
import type {CrashLedger} from './crash-ledger.js';

/** A quarantine decision is revoked if the crash score falls below this share of the score that it required. */
const MIN_SCORE_SHARE = 0.5;

/**
 * True if the crash score of a quarantined request has fallen below half the quarantine threshold after further reports on its crashes. Requests
 * that crash upstreams together share the score but keep more than half of it.
 */
export const isUnproven = (ledger: CrashLedger, fingerprint: string): boolean =>
	ledger.quarantined.has(fingerprint) && getBlame(ledger, fingerprint) < QUARANTINE_BLAME * MIN_SCORE_SHARE;
