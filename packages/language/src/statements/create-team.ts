import type {StatementKind} from '../statement-kind.js';

/** `create team`. */
export const createTeam: StatementKind = {
	verb: 'create',
	object: 'team',
	owner: '',
	attributes: ['weight', 'limit', 'queue', 'classes'],
	perform: ({name, fields}) => ({kind: 'createTeam', name, ...fields}),
};
