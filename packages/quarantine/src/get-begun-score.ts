import {BEGUN_CRASHES} from './begun-crashes.js';
import {QUARANTINE_BLAME} from './quarantine-blame.js';
import {getBegunRuns} from './get-begun-runs.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * The blame for a request that had just begun at every crash, though others always had as well. Guilty requests that come together share each crash. An
 * innocent one does not begin with them three times, as it is given no second upstream after a crash at which it had just begun, and it runs for a while
 * where no guilty one is.
 */
export const getBegunScore = (ledger: CrashLedger, fingerprint: string): number =>
	getBegunRuns(ledger, fingerprint).length >= BEGUN_CRASHES ? QUARANTINE_BLAME : 0;
