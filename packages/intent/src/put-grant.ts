import {putRecord} from './put-record.js';
import type {Transaction} from './transaction.js';
import type {Grant} from './grant.js';

/** Adds a grant to the grant table and its indexes. */
export const putGrant = (transaction: Transaction, grant: Grant): void => {
	const {grants, grantsByVm, grantsByOwner} = transaction.intent;
	putRecord(transaction, grants, grant.id, grant);
	putRecord(transaction, grantsByVm, grant.vm, [...(grantsByVm.get(grant.vm) ?? []), grant.id]);
	putRecord(transaction, grantsByOwner, grant.owner, [...(grantsByOwner.get(grant.owner) ?? []), grant.id]);
};
