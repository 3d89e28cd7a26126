import {deleteRecord} from './delete-record.js';
import {putRecord} from './put-record.js';
import type {Transaction} from './transaction.js';

const mutateIndex = (transaction: Transaction, index: Map<string, readonly string[]>, key: string, grantId: string): void => {
	const remainingIds = (index.get(key) ?? []).filter(candidate => candidate !== grantId);
	if (remainingIds.length === 0) {
		deleteRecord(transaction, index, key);
		return;
	}

	putRecord(transaction, index, key, remainingIds);
};

/** Removes a grant from the grant table and its indexes. */
export const deleteGrant = (transaction: Transaction, grantId: string): void => {
	const grant = transaction.intent.grants.get(grantId);
	if (!grant) {
		return;
	}

	deleteRecord(transaction, transaction.intent.grants, grantId);
	mutateIndex(transaction, transaction.intent.grantsByVm, grant.vm, grantId);
	mutateIndex(transaction, transaction.intent.grantsByOwner, grant.owner, grantId);
};
