import type {StatementKind} from '../statement-kind.js';

/** The `drop operator` statement: deletes an operator. */
export const dropOperator: StatementKind = {
	verb: 'drop',
	object: 'operator',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'dropOperator', name}),
};
