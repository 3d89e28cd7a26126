import type {StatementKind} from '../statement-kind.js';

/** The `undrain vm` statement: allows new work for a VM again, after it was drained. */
export const undrainVm: StatementKind = {
	verb: 'undrain',
	object: 'vm',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'undrain', target: 'vm', name}),
};
