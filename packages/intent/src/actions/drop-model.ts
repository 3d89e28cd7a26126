import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteRecord} from '../delete-record.js';
import {requireUnused} from '../require-unused.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropModel'),
	name: NAME,
});

/** Deletes a model, provided that it has no adapters. The placement then revokes the grants of its replicas. */
export const dropModel = newAction({
	name: 'dropModel',
	schema: SCHEMA,
	perform(transaction, command) {
		requirePresent(transaction.intent.models, command.name, 'model');
		requireUnused([...transaction.intent.adapters.values()], adapter => adapter.model === command.name, `model ${command.name}`);
		deleteRecord(transaction, transaction.intent.models, command.name);
	},
});
