import * as Schema from 'effect/Schema';
import {BYTES, COUNT, NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {getAdapterKey} from '../get-adapter-key.js';
import {requireTeams} from '../require-teams.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('alterAdapter'),
	model: NAME,
	name: NAME,
	memoryBytes: Schema.optionalKey(BYTES),
	maxReplicas: Schema.optionalKey(COUNT),
	teams: Schema.optionalKey(Schema.Array(NAME)),
});

/** Changes an adapter. Fields that the command omits keep their values. */
export const alterAdapter = newAction({
	name: 'alterAdapter',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		const key = getAdapterKey(command.model, command.name);
		const adapter = {...requirePresent(transaction.intent.adapters, key, 'adapter'), ...fields};
		requireTeams(transaction.intent, adapter.teams);
		putRecord(transaction, transaction.intent.adapters, key, adapter);
	},
});
