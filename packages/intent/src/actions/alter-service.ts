import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {requireTeams} from '../require-teams.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('alterService'),
	name: NAME,
	class: Schema.optionalKey(NAME),
	teams: Schema.optionalKey(Schema.Array(NAME)),
	isRepeatable: Schema.optionalKey(Schema.Boolean),
});

/** Changes the route of a plain service. Fields that the command omits keep their values. */
export const alterService = newAction({
	name: 'alterService',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		const service = {...requirePresent(transaction.intent.services, command.name, 'service'), ...fields};
		requirePresent(transaction.intent.classes, service.class, 'class');
		requireTeams(transaction.intent, service.teams);
		putRecord(transaction, transaction.intent.services, command.name, service);
	},
});
