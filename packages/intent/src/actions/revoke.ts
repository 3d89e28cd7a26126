import * as Schema from 'effect/Schema';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('revoke'),
	grantId: Schema.String,
});

/** Revokes a grant, so that the VM unloads the replica. The replica counts against the limits until the grant is released. */
export const revoke = newAction({
	name: 'revoke',
	schema: SCHEMA,
	perform(transaction, command) {
		const grant = requirePresent(transaction.intent.grants, command.grantId, 'grant');
		putRecord(transaction, transaction.intent.grants, grant.id, {...grant, isRevoking: true});
	},
});
