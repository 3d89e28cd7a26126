import {QUOTA_UNIT} from './quota-unit.js';
import type {Quota} from './quota.js';

/**
 * Returns the units that a request takes of its subject's quota.
 * @param tokens - Tokens of the prompt and maximum tokens to generate, in sum; undefined if the request does not state them.
 */
export const getRequestCost = (quota: Quota, tokens: number | undefined): number => {
	if (quota.unit === QUOTA_UNIT.Request) {
		return 1;
	}

	return tokens ?? quota.plainTokens;
};
