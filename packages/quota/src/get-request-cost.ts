import {QUOTA_UNIT} from './quota-unit.js';
import type {Quota} from './quota.js';

/**
 * What a request counts of its subject's quota.
 * @param tokens - Those of its prompt and the most that it may generate together; undefined where it names none.
 */
export const getRequestCost = (quota: Quota, tokens: number | undefined): number => {
	if (quota.unit === QUOTA_UNIT.Request) {
		return 1;
	}

	return tokens ?? quota.plainTokens;
};
