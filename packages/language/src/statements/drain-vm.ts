import type {StatementKind} from '../statement-kind.js';

/** The `drain vm` statement: stops sending new work to a VM. */
export const drainVm: StatementKind = {
	verb: 'drain',
	object: 'vm',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'drain', target: 'vm', name}),
};
