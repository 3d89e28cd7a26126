import type {StatementKind} from '../statement-kind.js';

/** The `create team` statement: creates a team. */
export const createTeam: StatementKind = {
	verb: 'create',
	object: 'team',
	owner: '',
	attributes: ['weight', 'limit', 'queue', 'classes'],
	newCommand: ({name, fields}) => ({kind: 'createTeam', name, ...fields}),
};
