import * as Schema from 'effect/Schema';
import {COUNT, NAME, WEIGHT} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('alterTeam'),
	name: NAME,
	weight: Schema.optionalKey(WEIGHT),
	maxInProgress: Schema.optionalKey(COUNT),
	maxWaiting: Schema.optionalKey(COUNT),
	classes: Schema.optionalKey(Schema.Array(NAME)),
});

/** Changes a team. Fields that the command omits keep their values. */
export const alterTeam = newAction({
	name: 'alterTeam',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		const team = requirePresent(transaction.intent.teams, command.name, 'team');
		putRecord(transaction, transaction.intent.teams, command.name, {...team, ...fields});
	},
});
