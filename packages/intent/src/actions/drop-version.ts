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

/** Drops a version that is not the one served. */
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
