import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {HASH, NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createKey'),
	team: NAME,
	name: NAME,
	hash: HASH,
});

/** Adds an API key to a team. Only the digest of the key is stored. */
export const createKey = newAction({
	name: 'createKey',
	schema: SCHEMA,
	perform(transaction, command) {
		const team = requirePresent(transaction.intent.teams, command.team, 'team');
		if (team.keys.some(key => key.name === command.name)) {
			throw new ValeleadError(`key ${command.name} of team ${command.team} exists`, {code: RESULT_CODE.AlreadyExists});
		}

		const keys = [...team.keys, {name: command.name, hash: command.hash}];
		putRecord(transaction, transaction.intent.teams, command.team, {...team, keys});
	},
});
