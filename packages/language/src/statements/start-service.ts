import type {StatementKind} from '../statement-kind.js';

/** `start service`. */
export const startService: StatementKind = {
	verb: 'start',
	object: 'service',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'start', target: 'service', name}),
};
