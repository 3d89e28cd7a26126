import type {StatementKind} from '../statement-kind.js';

/** `drop adapter` of a model. */
export const dropAdapter: StatementKind = {
	verb: 'drop',
	object: 'adapter',
	owner: 'model',
	attributes: [],
	perform: ({name, owner}) => ({kind: 'dropAdapter', name, model: owner}),
};
