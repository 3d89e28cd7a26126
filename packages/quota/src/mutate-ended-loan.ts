import {mutateBucketLevel} from './mutate-bucket-level.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** Units of a loan that has ended. */
type EndedUnits = {
	/** Units that are no longer lent. */
	readonly lent: number;
	/** Units among them that count as used. */
	readonly used: number;
};

/** Subtracts ended units from the lent units of a subject, and the used ones among them from its bucket. */
export const mutateEndedLoan = (ledger: QuotaLedger, account: SubjectAccount, {lent, used}: EndedUnits, now: number): void => {
	mutateBucketLevel(ledger, account, now);
	account.lent -= lent;
	account.level = Math.max(0, account.level - used);
};
