import {areEarlierRatesValid} from './are-earlier-rates-valid.js';
import {getLendableRate} from './get-lendable-rate.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {Rate} from './rate.js';
import type {SubjectAccount} from './subject-account.js';

/** Returns what earlier leaders may have lent of a subject's rate, without what this leader has taken over. */
export const getWithheldRate = (ledger: QuotaLedger, {quota, adoptedRate}: SubjectAccount, now: number): Rate => {
	if (!areEarlierRatesValid(ledger, now)) {
		return {perSecond: 0, capacity: 0};
	}

	const {perSecond, capacity} = getLendableRate(ledger.tolerance, quota);
	return {perSecond: Math.max(0, perSecond - adoptedRate.perSecond), capacity: Math.max(0, capacity - adoptedRate.capacity)};
};
