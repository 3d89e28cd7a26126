import type {StatementKind} from '../statement-kind.js';

/** The `drop adapter` statement: deletes an adapter of a model. */
export const dropAdapter: StatementKind = {
	verb: 'drop',
	object: 'adapter',
	owner: 'model',
	attributes: [],
	newCommand: ({name, owner}) => ({kind: 'dropAdapter', name, model: owner}),
};
