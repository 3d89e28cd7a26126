import {getCurrentBucketCapacity} from './get-current-bucket-capacity.js';
import {getWithheldRate} from './get-withheld-rate.js';
import {isScarce} from './is-scarce.js';
import {getLendableRate} from './get-lendable-rate.js';
import {MAX_LENT_SHARE} from './max-lent-share.js';
import {mutateBucketLevel} from './mutate-bucket-level.js';
import {getRateEntry} from './get-rate-entry.js';
import {getRateSum} from './get-rate-sum.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {Rate} from './rate.js';
import type {RateLoan} from './rate-loan.js';
import type {SubjectAccount} from './subject-account.js';
import type {SubjectUsage} from './subject-usage.js';

/** A borrower that has not reported on a rate for this time takes no part in its division, in milliseconds: four report intervals. */
const MAX_REPORT_AGE_MS = 2000;

/** Returns the capacity that can be lent without making units that are already lent exceed their share of the bucket. */
const getFreeCapacity = (ledger: QuotaLedger, account: SubjectAccount, now: number): number =>
	Math.max(0, getCurrentBucketCapacity(ledger, account, now) - (account.lent / MAX_LENT_SHARE));

/** Returns the equal share of the lendable rate for each of the borrowers that report on it. */
const getMaxRate = (ledger: QuotaLedger, account: SubjectAccount, subject: string, now: number): Rate => {
	const count = [...ledger.rateBorrowers.values()].filter(({rates}) => now - (rates.get(subject)?.reportedAt ?? Number.NEGATIVE_INFINITY) < MAX_REPORT_AGE_MS).length;
	const {perSecond, capacity} = getLendableRate(ledger.tolerance, account.quota);
	return {perSecond: perSecond / count, capacity: capacity / count};
};

/** Returns what can be added to a borrower's rate, in the proportion of the largest rate that it may hold. */
const getAddedRate = (ledger: QuotaLedger, account: SubjectAccount, {max, held}: {readonly max: Rate; readonly held: Rate}, now: number): Rate => {
	const lendable = getLendableRate(ledger.tolerance, account.quota);
	const withheld = getWithheldRate(ledger, account, now);
	const share = isScarce(ledger, account, now)
		? 0
		: Math.max(0, Math.min(
			1 - (held.perSecond / max.perSecond),
			1 - (held.capacity / max.capacity),
			(lendable.perSecond - account.lentRate.perSecond - withheld.perSecond) / max.perSecond,
			(lendable.capacity - account.lentRate.capacity - withheld.capacity) / max.capacity,
			getFreeCapacity(ledger, account, now) / max.capacity,
		));
	return {perSecond: max.perSecond * share, capacity: max.capacity * share};
};

/** Returns the units that move with the capacity, so that the bucket stays as full as it was. */
const getAddedLevel = (ledger: QuotaLedger, account: SubjectAccount, addedCapacity: number, now: number): number => {
	const capacity = getCurrentBucketCapacity(ledger, account, now);
	return capacity === 0 ? 0 : Math.max(0, Math.min(addedCapacity * account.level / capacity, account.level - account.lent));
};

/**
 * Lends a borrower that reports on its rate loans a part of the rate. Rates are divided evenly among the borrowers with recent demand, and
 * none is added while the subject is scarce, as waiting requests then need the bucket. Returns undefined if nothing changes for the borrower.
 */
export const mutateRateLoan = (ledger: QuotaLedger, borrowerId: string, {subject, rate}: SubjectUsage, now: number): RateLoan | undefined => {
	const account = ledger.accounts.get(subject);
	if (!account || !rate || account.quota.perSecond <= 0 || !ledger.areRatesLent) {
		return undefined;
	}

	mutateBucketLevel(ledger, account, now);
	const entry = getRateEntry(ledger, borrowerId, subject, now);
	if (!entry) {
		return undefined;
	}

	entry.reportedAt = now;
	const max = getMaxRate(ledger, account, subject, now);
	const elsewhereShare = rate.heldElsewhere / max.perSecond;
	const added = getAddedRate(ledger, account, {
		max, held: {perSecond: entry.held.perSecond + rate.heldElsewhere, capacity: entry.held.capacity + (max.capacity * elsewhereShare)},
	}, now);
	entry.held = getRateSum(entry.held, added);
	const addedLevel = getAddedLevel(ledger, account, added.capacity, now);
	account.level -= addedLevel;
	account.lentRate = getRateSum(account.lentRate, added);
	mutateBucketLevel(ledger, account, now);
	const isUnchanged = added.perSecond === 0 && entry.max?.perSecond === max.perSecond && entry.max.capacity === max.capacity;
	entry.max = max;
	return isUnchanged
		? undefined
		: {
			...added, level: addedLevel, maxPerSecond: max.perSecond, maxCapacity: max.capacity,
		};
};
