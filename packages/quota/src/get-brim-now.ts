import {getBrim} from './get-brim.js';
import {LENT_SHARE} from './lent-share.js';
import {LOAN_MS} from './loan-ms.js';
import type {Quota} from './quota.js';
import type {QuotaLedger} from './quota-ledger.js';

/** The most that a subject's bucket holds now: less while loans of the leader before may be used still. */
export const getBrimNow = ({tolerance, startedAt}: QuotaLedger, quota: Quota, now: number): number => {
	const brim = getBrim(tolerance, quota);
	return now - startedAt < LOAN_MS ? brim * (1 - LENT_SHARE) : brim;
};
