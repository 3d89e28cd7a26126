import {getBrimNow} from './get-brim-now.js';
import {getFilledLevel} from './get-filled-level.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** Fills a subject's bucket up to the present. */
export const mutateLevel = (ledger: QuotaLedger, account: SubjectAccount, now: number): void => {
	account.level = Math.min(getBrimNow(ledger, account.quota, now), getFilledLevel(account, now));
	account.levelAt = now;
};
