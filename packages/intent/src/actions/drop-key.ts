import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('dropKey'),
	team: NAME,
	name: NAME,
});

/** Deletes an API key of a team. */
export const dropKey = newAction({
	name: 'dropKey',
	schema: SCHEMA,
	perform(transaction, command) {
		const team = requirePresent(transaction.intent.teams, command.team, 'team');
		const keys = team.keys.filter(key => key.name !== command.name);
		if (keys.length === team.keys.length) {
			throw new ValeleadError(`team ${command.team} has no key ${command.name}`, {code: RESULT_CODE.NotFound});
		}

		putRecord(transaction, transaction.intent.teams, command.team, {...team, keys});
	},
});
