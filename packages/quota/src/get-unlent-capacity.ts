import {getBucketCapacity} from './get-bucket-capacity.js';
import {getWithheldRate} from './get-withheld-rate.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** Returns the capacity of a subject's bucket without the capacity of the rate loans, of this leader or of earlier ones. */
export const getUnlentCapacity = (ledger: QuotaLedger, account: SubjectAccount, now: number): number =>
	Math.max(0, getBucketCapacity(ledger.tolerance, account.quota) - account.lentRate.capacity - getWithheldRate(ledger, account, now).capacity);
