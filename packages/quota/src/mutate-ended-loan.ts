import {mutateBucketLevel} from './mutate-bucket-level.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** Units that are lent no longer, and how many of them count as used. */
type EndedUnits = {
	readonly lent: number;
	readonly used: number;
};

/** Takes units of a subject out of what is lent, and those that were used out of its bucket. */
export const mutateEndedLoan = (ledger: QuotaLedger, account: SubjectAccount, {lent, used}: EndedUnits, now: number): void => {
	mutateBucketLevel(ledger, account, now);
	account.lent -= lent;
	account.level = Math.max(0, account.level - used);
};
