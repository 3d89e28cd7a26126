import type {StatementKind} from '../statement-kind.js';

/** `forget vm`. */
export const forgetVm: StatementKind = {
	verb: 'forget',
	object: 'vm',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'forgetVm', name}),
};
