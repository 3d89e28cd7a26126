import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteRecord} from '../delete-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropOperator'),
	name: NAME,
});

/** Deletes an operator and the operator's key. */
export const dropOperator = newAction({
	name: 'dropOperator',
	schema: SCHEMA,
	perform(transaction, command) {
		requirePresent(transaction.intent.operators, command.name, 'operator');
		deleteRecord(transaction, transaction.intent.operators, command.name);
	},
});
