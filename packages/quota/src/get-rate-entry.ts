import {RATE_LOAN_MS} from './rate-loan-ms.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {RateBorrower} from './rate-borrower.js';

type RateEntry = RateBorrower['rates'] extends Map<string, infer Entry> ? Entry : never;

/** Returns the rate loan of a subject in a session and creates it on first use; undefined if the rate loans of the session have expired. */
export const getRateEntry = ({rateBorrowers}: QuotaLedger, borrowerId: string, subject: string, now: number): RateEntry | undefined => {
	const borrower: RateBorrower = rateBorrowers.get(borrowerId) ?? {rates: new Map(), hasEnded: false, expiresAt: now + RATE_LOAN_MS};
	rateBorrowers.set(borrowerId, borrower);
	if (borrower.hasEnded) {
		return undefined;
	}

	const entry = borrower.rates.get(subject) ?? {held: {perSecond: 0, capacity: 0}, reportedAt: now, max: undefined};
	borrower.rates.set(subject, entry);
	return entry;
};
