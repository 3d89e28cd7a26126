import {getBucketCapacity} from './get-bucket-capacity.js';
import {getUncappedLevel} from './get-uncapped-level.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** A subject whose bucket is below this part of its brim has used much of its quota lately. */
const SCARCE_LEVEL_SHARE = 0.7;

/** Whether what is left of a subject's quota is kept for requests that are there, wherever they come, and nothing lies in stock for others. */
export const isScarce = (ledger: QuotaLedger, account: SubjectAccount, now: number): boolean =>
	getUncappedLevel(account, now) < getBucketCapacity(ledger.tolerance, account.quota) * SCARCE_LEVEL_SHARE;
