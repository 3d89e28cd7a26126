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

/** Removes a VM that will not return, together with its grants. The replicas may then be granted to other VMs. */
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
