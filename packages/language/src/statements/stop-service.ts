import type {StatementKind} from '../statement-kind.js';

/** The `stop service` statement: refuses new requests for a service. */
export const stopService: StatementKind = {
	verb: 'stop',
	object: 'service',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'stop', target: 'service', name}),
};
