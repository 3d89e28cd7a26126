import type {StatementKind} from '../statement-kind.js';

/** `drop class`. */
export const dropClass: StatementKind = {
	verb: 'drop',
	object: 'class',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'dropClass', name}),
};
