import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {deleteRecord} from '../delete-record.js';
import {requireUnused} from '../require-unused.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropTeam'),
	name: NAME,
});

/** Deletes a team, provided that no model, adapter or service refers to it. */
export const dropTeam = newAction({
	name: 'dropTeam',
	schema: SCHEMA,
	perform(transaction, command) {
		requirePresent(transaction.intent.teams, command.name, 'team');
		const users = [...transaction.intent.models.values(), ...transaction.intent.adapters.values(), ...transaction.intent.services.values()];
		requireUnused(users, user => user.teams.includes(command.name), `team ${command.name}`);
		deleteRecord(transaction, transaction.intent.teams, command.name);
	},
});
