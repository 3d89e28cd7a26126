import * as Schema from 'effect/Schema';
import {BYTES, COUNT, NAME} from '../field-schemas.js';
import {requireAbsent} from '../require-absent.js';
import {putRecord} from '../put-record.js';
import {newModel} from '../new-model.js';
import {requireModelReferences} from '../require-model-references.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createModel'),
	name: NAME,
	memoryBytes: BYTES,
	maxReplicas: Schema.optionalKey(COUNT),
	minReplicas: Schema.optionalKey(COUNT),
	class: Schema.optionalKey(NAME),
	teams: Schema.optionalKey(Schema.Array(NAME)),
	version: Schema.optionalKey(NAME),
});

/** Creates a model with one version; omitted fields get default values. */
export const createModel = newAction({
	name: 'createModel',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		requireAbsent(transaction.intent.models, command.name, 'model');
		const model = {...newModel(command.name, command.memoryBytes), ...fields};
		requireModelReferences(transaction.intent, model);
		putRecord(transaction, transaction.intent.models, command.name, {...model, versions: [model.version]});
	},
});
