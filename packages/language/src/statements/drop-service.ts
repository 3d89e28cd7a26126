import type {StatementKind} from '../statement-kind.js';

/** The `drop service` statement: deletes a service. */
export const dropService: StatementKind = {
	verb: 'drop',
	object: 'service',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'dropService', name}),
};
