import {putRecord} from './put-record.js';
import type {Draft} from './draft.js';
import type {Grant} from './grant.js';

/** Adds a grant to the table and its indexes. */
export const putGrant = (draft: Draft, grant: Grant): void => {
	const {grants, grantsByVm, grantsByOwner} = draft.intent;
	putRecord(draft, grants, grant.id, grant);
	putRecord(draft, grantsByVm, grant.vm, [...(grantsByVm.get(grant.vm) ?? []), grant.id]);
	putRecord(draft, grantsByOwner, grant.owner, [...(grantsByOwner.get(grant.owner) ?? []), grant.id]);
};
