import type {StatementKind} from '../statement-kind.js';

/** The `create operator` statement: creates an operator. */
export const createOperator: StatementKind = {
	verb: 'create',
	object: 'operator',
	owner: '',
	attributes: ['hash', 'read only'],
	newCommand: ({name, fields}) => ({
		kind: 'createOperator', name, canWrite: true, ...fields,
	}),
};
