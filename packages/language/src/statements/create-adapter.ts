import type {StatementKind} from '../statement-kind.js';

/** The `create adapter` statement: creates an adapter of a model. */
export const createAdapter: StatementKind = {
	verb: 'create',
	object: 'adapter',
	owner: 'model',
	attributes: ['memory', 'replicas', 'teams'],
	newCommand: ({name, owner, fields}) => ({
		kind: 'createAdapter', name, model: owner, ...fields,
	}),
};
