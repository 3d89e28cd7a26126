import type {StatementKind} from '../statement-kind.js';

/** `drop operator`. */
export const dropOperator: StatementKind = {
	verb: 'drop',
	object: 'operator',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'dropOperator', name}),
};
