import type {StatementKind} from '../statement-kind.js';

/** `create key` of a team. */
export const createKey: StatementKind = {
	verb: 'create',
	object: 'key',
	owner: 'team',
	attributes: ['hash'],
	perform: ({name, owner, fields}) => ({
		kind: 'createKey', name, team: owner, ...fields,
	}),
};
