import type {StatementKind} from '../statement-kind.js';

/** `stop model`. */
export const stopModel: StatementKind = {
	verb: 'stop',
	object: 'model',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'stop', target: 'model', name}),
};
