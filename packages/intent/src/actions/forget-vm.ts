import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteRecord} from '../delete-record.js';
import {deleteGrant} from '../delete-grant.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('forgetVm'),
	name: NAME,
});

/** Declares that a VM is gone for good: what was granted to it is free again. */
export const forgetVm = newAction({
	name: 'forgetVm',
	schema: SCHEMA,
	perform(transaction, command) {
		requirePresent(transaction.intent.vms, command.name, 'VM');
		for (const grantId of transaction.intent.grantsByVm.get(command.name) ?? []) {
			deleteGrant(transaction, grantId);
		}

		deleteRecord(transaction, transaction.intent.vms, command.name);
	},
});
