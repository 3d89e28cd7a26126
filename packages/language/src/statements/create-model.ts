import type {StatementKind} from '../statement-kind.js';

/** The `create model` statement: creates a model. */
export const createModel: StatementKind = {
	verb: 'create',
	object: 'model',
	owner: '',
	attributes: ['memory', 'replicas', 'class', 'teams', 'version'],
	newCommand: ({name, fields}) => ({kind: 'createModel', name, ...fields}),
};
