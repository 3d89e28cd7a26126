import {deleteRecord} from './delete-record.js';
import {putRecord} from './put-record.js';
import type {Draft} from './draft.js';

const mutateIndex = (draft: Draft, index: Map<string, readonly string[]>, key: string, grantId: string): void => {
	const left = (index.get(key) ?? []).filter(candidate => candidate !== grantId);
	if (left.length === 0) {
		deleteRecord(draft, index, key);
		return;
	}

	putRecord(draft, index, key, left);
};

/** Removes a grant from the table and its indexes. */
export const deleteGrant = (draft: Draft, grantId: string): void => {
	const grant = draft.intent.grants.get(grantId);
	if (!grant) {
		return;
	}

	deleteRecord(draft, draft.intent.grants, grantId);
	mutateIndex(draft, draft.intent.grantsByVm, grant.vm, grantId);
	mutateIndex(draft, draft.intent.grantsByOwner, grant.owner, grantId);
};
