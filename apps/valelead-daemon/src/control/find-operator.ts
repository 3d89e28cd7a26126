import {hashKey, isEqualHash} from '@valelead/access';
import type {Intent, Operator} from '@valelead/intent';

/**
 * Returns the operator that owns a key, or undefined for an unknown key.
 * @param initialHash - Hash of the operator key from the settings; empty if the settings have none.
 */
export const findOperator = (intent: Intent, key: string, initialHash: string): Operator | undefined => {
	const hash = hashKey(key);
	if (initialHash !== '' && isEqualHash(hash, initialHash)) {
		return {name: 'initial', hash, canWrite: true};
	}

	return [...intent.operators.values()].find(operator => isEqualHash(operator.hash, hash));
};
