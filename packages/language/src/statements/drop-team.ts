import type {StatementKind} from '../statement-kind.js';

/** The `drop team` statement: deletes a team. */
export const dropTeam: StatementKind = {
	verb: 'drop',
	object: 'team',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'dropTeam', name}),
};
