import type {StatementKind} from '../statement-kind.js';

/** The `drop version` statement: deletes a version of a model. */
export const dropVersion: StatementKind = {
	verb: 'drop',
	object: 'version',
	owner: 'model',
	attributes: [],
	newCommand: ({name, owner}) => ({kind: 'dropVersion', name, model: owner}),
};
