import type {StatementKind} from '../statement-kind.js';

/** The `start team` statement: accepts requests of a team again, after it was stopped. */
export const startTeam: StatementKind = {
	verb: 'start',
	object: 'team',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'start', target: 'team', name}),
};
