import type {StatementKind} from '../statement-kind.js';

/** The `create key` statement: creates a key of a team. */
export const createKey: StatementKind = {
	verb: 'create',
	object: 'key',
	owner: 'team',
	attributes: ['hash'],
	newCommand: ({name, owner, fields}) => ({
		kind: 'createKey', name, team: owner, ...fields,
	}),
};
