import type {StatementKind} from '../statement-kind.js';

/** The `stop team` statement: refuses new requests of a team. */
export const stopTeam: StatementKind = {
	verb: 'stop',
	object: 'team',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'stop', target: 'team', name}),
};
