import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteRecord} from '../delete-record.js';
import {requireUnused} from '../require-unused.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropClass'),
	name: NAME,
});

/** Deletes a request class, provided that no model or service refers to it. */
export const dropClass = newAction({
	name: 'dropClass',
	schema: SCHEMA,
	perform(transaction, command) {
		requirePresent(transaction.intent.classes, command.name, 'class');
		const users = [...transaction.intent.models.values(), ...transaction.intent.services.values()];
		requireUnused(users, user => user.class === command.name, `class ${command.name}`);
		deleteRecord(transaction, transaction.intent.classes, command.name);
	},
});
