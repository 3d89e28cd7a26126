import type {StatementKind} from '../statement-kind.js';

/** The `alter adapter` statement: changes an adapter of a model. */
export const alterAdapter: StatementKind = {
	verb: 'alter',
	object: 'adapter',
	owner: 'model',
	attributes: ['memory', 'replicas', 'teams'],
	newCommand: ({name, owner, fields}) => ({
		kind: 'alterAdapter', name, model: owner, ...fields,
	}),
};
