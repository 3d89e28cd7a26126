import * as Schema from 'effect/Schema';
import {HASH, NAME} from '../field-schemas.js';
import {requireAbsent} from '../require-absent.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createOperator'),
	name: NAME,
	hash: HASH,
	canWrite: Schema.Boolean,
});

/** Adds an operator with a key. Only the digest of the key is stored. */
export const createOperator = newAction({
	name: 'createOperator',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		requireAbsent(transaction.intent.operators, command.name, 'operator');
		putRecord(transaction, transaction.intent.operators, command.name, fields);
	},
});
