import type {StatementKind} from '../statement-kind.js';

/** `stop service`. */
export const stopService: StatementKind = {
	verb: 'stop',
	object: 'service',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'stop', target: 'service', name}),
};
