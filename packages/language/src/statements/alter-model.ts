import type {StatementKind} from '../statement-kind.js';

/** The `alter model` statement: changes a model. */
export const alterModel: StatementKind = {
	verb: 'alter',
	object: 'model',
	owner: '',
	attributes: ['memory', 'replicas', 'class', 'teams', 'version'],
	newCommand: ({name, fields}) => ({kind: 'alterModel', name, ...fields}),
};
