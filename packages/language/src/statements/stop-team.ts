import type {StatementKind} from '../statement-kind.js';

/** `stop team`. */
export const stopTeam: StatementKind = {
	verb: 'stop',
	object: 'team',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'stop', target: 'team', name}),
};
