import type {StatementKind} from '../statement-kind.js';

/** The `alter team` statement: changes a team. */
export const alterTeam: StatementKind = {
	verb: 'alter',
	object: 'team',
	owner: '',
	attributes: ['weight', 'limit', 'queue', 'classes'],
	newCommand: ({name, fields}) => ({kind: 'alterTeam', name, ...fields}),
};
