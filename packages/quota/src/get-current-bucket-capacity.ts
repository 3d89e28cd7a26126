import {getUnlentCapacity} from './get-unlent-capacity.js';
import {MAX_LENT_SHARE} from './max-lent-share.js';
import {LOAN_MS} from './loan-ms.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/**
 * Returns the capacity of a subject's bucket at present, which is lower while processes may still use loans of previous leaders. Each leader lends
 * at most `MAX_LENT_SHARE` of its capacity, so the next one has the rest of that capacity, also if several leaders follow each other quickly.
 */
export const getCurrentBucketCapacity = (ledger: QuotaLedger, account: SubjectAccount, now: number): number => {
	let capacity = getUnlentCapacity(ledger, account, now);
	for (const at of [...ledger.previousStarts, ledger.startedAt]) {
		capacity *= now - at < LOAN_MS ? 1 - MAX_LENT_SHARE : 1;
	}

	return capacity;
};
