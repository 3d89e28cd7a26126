import type {StatementKind} from '../statement-kind.js';

/** The `start model` statement: accepts requests for a model again, after it was stopped. */
export const startModel: StatementKind = {
	verb: 'start',
	object: 'model',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'start', target: 'model', name}),
};
