import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteRecord} from '../delete-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropService'),
	name: NAME,
});

/** Deletes the route of a plain service. */
export const dropService = newAction({
	name: 'dropService',
	schema: SCHEMA,
	perform(transaction, command) {
		requirePresent(transaction.intent.services, command.name, 'service');
		deleteRecord(transaction, transaction.intent.services, command.name);
	},
});
