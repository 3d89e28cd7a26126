import type {StatementKind} from '../statement-kind.js';

/** The `drop service` statement: deletes a service. */
export const dropService: StatementKind = {
	verb: 'drop',
	object: 'service',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'dropService', name}),
};
