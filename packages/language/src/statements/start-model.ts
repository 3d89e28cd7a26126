import type {StatementKind} from '../statement-kind.js';

/** `start model`. */
export const startModel: StatementKind = {
	verb: 'start',
	object: 'model',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'start', target: 'model', name}),
};
