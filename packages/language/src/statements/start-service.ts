import type {StatementKind} from '../statement-kind.js';

/** The `start service` statement: accepts requests for a service again, after it was stopped. */
export const startService: StatementKind = {
	verb: 'start',
	object: 'service',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'start', target: 'service', name}),
};
