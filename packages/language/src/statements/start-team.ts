import type {StatementKind} from '../statement-kind.js';

/** `start team`. */
export const startTeam: StatementKind = {
	verb: 'start',
	object: 'team',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'start', target: 'team', name}),
};
