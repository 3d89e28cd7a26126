import type {StatementKind} from '../statement-kind.js';

/** The `alter service` statement: changes a service. */
export const alterService: StatementKind = {
	verb: 'alter',
	object: 'service',
	owner: '',
	attributes: ['class', 'teams', 'repeatable', 'not repeatable'],
	newCommand: ({name, fields}) => ({kind: 'alterService', name, ...fields}),
};
