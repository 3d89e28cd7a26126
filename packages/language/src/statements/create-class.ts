import type {StatementKind} from '../statement-kind.js';

/** The `create class` statement: creates a class. */
export const createClass: StatementKind = {
	verb: 'create',
	object: 'class',
	owner: '',
	attributes: ['deadline', 'weight', 'queue'],
	newCommand: ({name, fields}) => ({kind: 'createClass', name, ...fields}),
};
