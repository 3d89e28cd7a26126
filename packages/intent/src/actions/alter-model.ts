import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {BYTES, COUNT, NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {requireModelReferences} from '../require-model-references.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('alterModel'),
	name: NAME,
	memoryBytes: Schema.optionalKey(BYTES),
	maxReplicas: Schema.optionalKey(COUNT),
	minReplicas: Schema.optionalKey(COUNT),
	class: Schema.optionalKey(NAME),
	teams: Schema.optionalKey(Schema.Array(NAME)),
	version: Schema.optionalKey(NAME),
});

/** Changes a model. Fields that the command omits keep their values. */
export const alterModel = newAction({
	name: 'alterModel',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		const model = {...requirePresent(transaction.intent.models, command.name, 'model'), ...fields};
		requireModelReferences(transaction.intent, model);
		if (!model.versions.includes(model.version)) {
			throw new ValeleadError(`model ${command.name} has no version ${model.version}`, {code: RESULT_CODE.NotFound});
		}

		putRecord(transaction, transaction.intent.models, command.name, model);
	},
});
