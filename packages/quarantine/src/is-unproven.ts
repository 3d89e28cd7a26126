import {getBlame} from './get-blame.js';
import {QUARANTINE_BLAME} from './quarantine-blame.js';
import type {CrashLedger} from './crash-ledger.js';

/** A judgement is taken back once less than this share of the blame for it is left. */
const MIN_SCORE_SHARE = 0.5;

/**
 * Whether a quarantined request would be blamed for little, now that more is known of its crashes. Guilty requests that come together share the blame
 * and keep more than half of it.
 */
export const isUnproven = (ledger: CrashLedger, fingerprint: string): boolean =>
	ledger.quarantined.has(fingerprint) && getBlame(ledger, fingerprint) < QUARANTINE_BLAME * MIN_SCORE_SHARE;
