import type {StatementKind} from '../statement-kind.js';

/** `drop team`. */
export const dropTeam: StatementKind = {
	verb: 'drop',
	object: 'team',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'dropTeam', name}),
};
