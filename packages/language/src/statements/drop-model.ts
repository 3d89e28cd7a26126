import type {StatementKind} from '../statement-kind.js';

/** `drop model`. */
export const dropModel: StatementKind = {
	verb: 'drop',
	object: 'model',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'dropModel', name}),
};
