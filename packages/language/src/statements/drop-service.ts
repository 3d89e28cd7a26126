import type {StatementKind} from '../statement-kind.js';

/** `drop service`. */
export const dropService: StatementKind = {
	verb: 'drop',
	object: 'service',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'dropService', name}),
};
