import type {StatementKind} from '../statement-kind.js';

/** `undrain vm`. */
export const undrainVm: StatementKind = {
	verb: 'undrain',
	object: 'vm',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'undrain', target: 'vm', name}),
};
