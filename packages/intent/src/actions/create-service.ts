import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requireAbsent} from '../require-absent.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newServiceRoute} from '../new-service-route.js';
import {requireTeams} from '../require-teams.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createService'),
	name: NAME,
	class: Schema.optionalKey(NAME),
	teams: Schema.optionalKey(Schema.Array(NAME)),
	isRepeatable: Schema.optionalKey(Schema.Boolean),
});

/** Creates the route of a plain service; omitted fields get default values. */
export const createService = newAction({
	name: 'createService',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		requireAbsent(transaction.intent.services, command.name, 'service');
		const service = {...newServiceRoute(command.name), ...fields};
		requirePresent(transaction.intent.classes, service.class, 'class');
		requireTeams(transaction.intent, service.teams);
		putRecord(transaction, transaction.intent.services, command.name, service);
	},
});
