import type {StatementKind} from '../statement-kind.js';

/** `create operator`. */
export const createOperator: StatementKind = {
	verb: 'create',
	object: 'operator',
	owner: '',
	attributes: ['hash', 'read only'],
	perform: ({name, fields}) => ({
		kind: 'createOperator', name, canWrite: true, ...fields,
	}),
};
