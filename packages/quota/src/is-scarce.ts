import {getUnlentCapacity} from './get-unlent-capacity.js';
import {getUncappedLevel} from './get-uncapped-level.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** Share of the bucket capacity below which a quota is scarce, as the subject has used much of it recently. */
const SCARCE_LEVEL_SHARE = 0.7;

/**
 * True if the remaining quota of a subject is reserved for waiting requests at any process, so that no process keeps units in stock for future
 * requests.
 */
export const isScarce = (ledger: QuotaLedger, account: SubjectAccount, now: number): boolean =>
	getUncappedLevel(account, now) < getUnlentCapacity(ledger, account, now) * SCARCE_LEVEL_SHARE;
