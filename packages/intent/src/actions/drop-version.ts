import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropVersion'),
	model: NAME,
	name: NAME,
});

/** Deletes a version of a model, provided that it is not the served version. */
export const dropVersion = newAction({
	name: 'dropVersion',
	schema: SCHEMA,
	perform(transaction, command) {
		const model = requirePresent(transaction.intent.models, command.model, 'model');
		if (model.version === command.name) {
			throw new ValeleadError(`version ${command.name} of model ${command.model} is served`, {code: RESULT_CODE.StillInUse});
		}

		const versions = model.versions.filter(version => version !== command.name);
		putRecord(transaction, transaction.intent.models, command.model, {...model, versions});
	},
});
