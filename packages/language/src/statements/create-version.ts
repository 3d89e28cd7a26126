import type {StatementKind} from '../statement-kind.js';

/** The `create version` statement: creates a version of a model. */
export const createVersion: StatementKind = {
	verb: 'create',
	object: 'version',
	owner: 'model',
	attributes: [],
	newCommand: ({name, owner}) => ({kind: 'createVersion', name, model: owner}),
};
