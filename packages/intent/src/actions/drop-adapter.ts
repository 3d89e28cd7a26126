import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteRecord} from '../delete-record.js';
import {getAdapterKey} from '../get-adapter-key.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropAdapter'),
	model: NAME,
	name: NAME,
});

/** Deletes an adapter. The placement then revokes the grants of its replicas. */
export const dropAdapter = newAction({
	name: 'dropAdapter',
	schema: SCHEMA,
	perform(transaction, command) {
		const key = getAdapterKey(command.model, command.name);
		requirePresent(transaction.intent.adapters, key, 'adapter');
		deleteRecord(transaction, transaction.intent.adapters, key);
	},
});
