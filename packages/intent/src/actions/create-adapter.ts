import * as Schema from 'effect/Schema';
import {BYTES, COUNT, NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {requireAbsent} from '../require-absent.js';
import {putRecord} from '../put-record.js';
import {getAdapterKey} from '../get-adapter-key.js';
import {requireTeams} from '../require-teams.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createAdapter'),
	model: NAME,
	name: NAME,
	memoryBytes: BYTES,
	maxReplicas: Schema.optionalKey(COUNT),
	teams: Schema.optionalKey(Schema.Array(NAME)),
});

/** Creates an adapter for a model. The replica limit and the teams default to those of the model. */
export const createAdapter = newAction({
	name: 'createAdapter',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		const model = requirePresent(transaction.intent.models, command.model, 'model');
		const key = getAdapterKey(command.model, command.name);
		requireAbsent(transaction.intent.adapters, key, 'adapter');
		const adapter = {maxReplicas: model.maxReplicas, teams: model.teams, ...fields};
		requireTeams(transaction.intent, adapter.teams);
		putRecord(transaction, transaction.intent.adapters, key, adapter);
	},
});
