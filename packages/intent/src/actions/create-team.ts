import * as Schema from 'effect/Schema';
import {COUNT, NAME, WEIGHT} from '../field-schemas.js';
import {requireAbsent} from '../require-absent.js';
import {putRecord} from '../put-record.js';
import {newTeam} from '../new-team.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createTeam'),
	name: NAME,
	weight: Schema.optionalKey(WEIGHT),
	maxInProgress: Schema.optionalKey(COUNT),
	maxWaiting: Schema.optionalKey(COUNT),
	classes: Schema.optionalKey(Schema.Array(NAME)),
});

/** Creates a team without keys; omitted fields get default values. */
export const createTeam = newAction({
	name: 'createTeam',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		requireAbsent(transaction.intent.teams, command.name, 'team');
		putRecord(transaction, transaction.intent.teams, command.name, {...newTeam(command.name), ...fields});
	},
});
