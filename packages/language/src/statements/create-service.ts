import type {StatementKind} from '../statement-kind.js';

/** `create service`. */
export const createService: StatementKind = {
	verb: 'create',
	object: 'service',
	owner: '',
	attributes: ['class', 'teams', 'repeatable', 'not repeatable'],
	perform: ({name, fields}) => ({kind: 'createService', name, ...fields}),
};
