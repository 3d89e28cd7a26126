import type {StatementKind} from '../statement-kind.js';

/** The `drop key` statement: deletes a key of a team. */
export const dropKey: StatementKind = {
	verb: 'drop',
	object: 'key',
	owner: 'team',
	attributes: [],
	newCommand: ({name, owner}) => ({kind: 'dropKey', name, team: owner}),
};
