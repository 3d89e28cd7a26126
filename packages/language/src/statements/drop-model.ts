import type {StatementKind} from '../statement-kind.js';

/** The `drop model` statement: deletes a model. */
export const dropModel: StatementKind = {
	verb: 'drop',
	object: 'model',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'dropModel', name}),
};
