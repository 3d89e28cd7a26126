import type {StatementKind} from '../statement-kind.js';

/** The `create class` statement: creates a class. */
export const createClass: StatementKind = {
	verb: 'create',
	object: 'class',
	owner: '',
	attributes: ['deadline', 'weight', 'queue'],
	perform: ({name, fields}) => ({kind: 'createClass', name, ...fields}),
};
