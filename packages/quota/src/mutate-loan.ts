import {getBucketCapacity} from './get-bucket-capacity.js';
import {getUnlentCapacity} from './get-unlent-capacity.js';
import {getCurrentBucketCapacity} from './get-current-bucket-capacity.js';
import {getLendableRate} from './get-lendable-rate.js';
import {getWithheldRate} from './get-withheld-rate.js';
import {MAX_LENT_SHARE} from './max-lent-share.js';
import {isScarce} from './is-scarce.js';
import {mutateBucketLevel} from './mutate-bucket-level.js';
import {QUOTA_UNIT} from './quota-unit.js';
import type {Loan} from './loan.js';
import type {Quota} from './quota.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';
import type {SubjectUsage} from './subject-usage.js';

const MS_PER_SECOND = 1000;

/**
 * Returns the units that serve as many of the needs in their order as `free` allows, and the first need that is not served. The rest of `free`
 * serves no request here.
 */
const getServedNeeds = (needs: readonly number[], free: number): {readonly amount: number; readonly missing: number | undefined} => {
	let amount = 0;
	for (const need of needs) {
		if (amount + need > free) {
			return {amount, missing: need};
		}

		amount += need;
	}

	return {amount, missing: undefined};
};

/** Returns the units to lend for future requests. Units of whole requests are rounded down, as a part of a request is of no use. */
const getLendableUnits = ({unit}: Quota, amount: number): number => unit === QUOTA_UNIT.Request ? Math.floor(amount) : amount;

/**
 * Returns the units that are reserved for waiting requests: a share of the whole capacity if a part of it is lent as rates, because the size of
 * requests does not depend on it.
 */
const getWaitingReserve = (ledger: QuotaLedger, account: SubjectAccount, now: number): number => {
	const capacity = getCurrentBucketCapacity(ledger, account, now);
	const unlent = getUnlentCapacity(ledger, account, now);
	return unlent === 0 ? 0 : ledger.waitingReserveShare * capacity * getBucketCapacity(ledger.tolerance, account.quota) / unlent;
};

/** Returns the capacity that rate loans of this subject may still take, if any borrower uses them; loans for future requests leave it free. */
const getRateReserve = (ledger: QuotaLedger, account: SubjectAccount, subject: string, now: number): number => {
	const isUsed = [...ledger.rateBorrowers.values()].some(({rates}) => rates.has(subject));
	const {capacity} = getLendableRate(ledger.tolerance, account.quota);
	return isUsed ? Math.max(0, capacity - account.lentRate.capacity - getWithheldRate(ledger, account, now).capacity) : 0;
};

const getLoan = (ledger: QuotaLedger, account: SubjectAccount, {subject, wanted, needs}: SubjectUsage, now: number): Loan => {
	const {quota, level, lent} = account;
	const capacity = getCurrentBucketCapacity(ledger, account, now);
	const free = Math.max(0, Math.min(level, capacity * MAX_LENT_SHARE) - lent);
	const {amount, missing} = getServedNeeds(needs, free);
	if (missing !== undefined) {
		return {subject, amount, waitMs: Math.ceil((amount + missing - free) * MS_PER_SECOND / quota.perSecond)};
	}

	const surplus = isScarce(ledger, account, now) ? 0 : Math.max(0, free - amount - getWaitingReserve(ledger, account, now) - (getRateReserve(ledger, account, subject, now) * MAX_LENT_SHARE));
	return {subject, amount: amount + getLendableUnits(quota, Math.min(wanted, surplus)), waitMs: 0};
};

/** Lends a borrower the units that it requests, as far as available. Returns undefined if it requests nothing or the subject has no quota. */
export const mutateLoan = (ledger: QuotaLedger, borrowerId: string, usage: SubjectUsage, now: number): Loan | undefined => {
	const account = ledger.accounts.get(usage.subject);
	if (!account || (usage.wanted <= 0 && usage.needs.length === 0)) {
		return undefined;
	}

	mutateBucketLevel(ledger, account, now);
	const loan = getLoan(ledger, account, usage, now);
	const borrower = ledger.borrowers.get(borrowerId) ?? {amounts: new Map<string, number>(), expiresAt: now};
	ledger.borrowers.set(borrowerId, borrower);
	borrower.amounts.set(usage.subject, (borrower.amounts.get(usage.subject) ?? 0) + loan.amount);
	account.lent += loan.amount;
	return loan;
};
