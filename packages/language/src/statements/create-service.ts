import type {StatementKind} from '../statement-kind.js';

/** The `create service` statement: creates a service. */
export const createService: StatementKind = {
	verb: 'create',
	object: 'service',
	owner: '',
	attributes: ['class', 'teams', 'repeatable', 'not repeatable'],
	newCommand: ({name, fields}) => ({kind: 'createService', name, ...fields}),
};
