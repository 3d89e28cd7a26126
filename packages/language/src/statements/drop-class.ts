import type {StatementKind} from '../statement-kind.js';

/** The `drop class` statement: deletes a class. */
export const dropClass: StatementKind = {
	verb: 'drop',
	object: 'class',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'dropClass', name}),
};
