import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createVersion'),
	model: NAME,
	name: NAME,
});

/** Adds a version to a model. The version serves requests that name it. Other requests reach it once `alterModel` makes it the served one. */
export const createVersion = newAction({
	name: 'createVersion',
	schema: SCHEMA,
	perform(transaction, command) {
		const model = requirePresent(transaction.intent.models, command.model, 'model');
		if (model.versions.includes(command.name)) {
			throw new ValeleadError(`version ${command.name} of model ${command.model} exists`, {code: RESULT_CODE.AlreadyExists});
		}

		putRecord(transaction, transaction.intent.models, command.model, {...model, versions: [...model.versions, command.name]});
	},
});
