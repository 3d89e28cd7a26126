import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {INCARNATION, NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteGrant} from '../delete-grant.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('release'),
	vm: NAME,
	incarnation: INCARNATION,
	grantIds: Schema.Array(Schema.String),
});

/** Deletes grants after their agent has confirmed that the units are unloaded. Unknown grants are ignored, as they were released before. */
export const release = newAction({
	name: 'release',
	schema: SCHEMA,
	perform(transaction, command) {
		const vm = requirePresent(transaction.intent.vms, command.vm, 'VM');
		if (vm.incarnation !== command.incarnation) {
			throw new ValeleadError(`VM ${command.vm} is held by another agent`, {code: RESULT_CODE.VmAlreadyHeld});
		}

		for (const grantId of command.grantIds) {
			if (transaction.intent.grants.get(grantId)?.vm === command.vm) {
				deleteGrant(transaction, grantId);
			}
		}
	},
});
