import type {StatementKind} from '../statement-kind.js';

/** The `alter class` statement: changes a class. */
export const alterClass: StatementKind = {
	verb: 'alter',
	object: 'class',
	owner: '',
	attributes: ['deadline', 'weight', 'queue'],
	newCommand: ({name, fields}) => ({kind: 'alterClass', name, ...fields}),
};
