import type {StatementKind} from '../statement-kind.js';

/** The `forget vm` statement: declares that a VM will not return, which frees its grants. */
export const forgetVm: StatementKind = {
	verb: 'forget',
	object: 'vm',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'forgetVm', name}),
};
