import type {StatementKind} from '../statement-kind.js';

/** The `stop model` statement: refuses new requests for a model. */
export const stopModel: StatementKind = {
	verb: 'stop',
	object: 'model',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'stop', target: 'model', name}),
};
