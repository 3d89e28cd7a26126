import type {StatementKind} from '../statement-kind.js';

/** `drain vm`. */
export const drainVm: StatementKind = {
	verb: 'drain',
	object: 'vm',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'drain', target: 'vm', name}),
};
