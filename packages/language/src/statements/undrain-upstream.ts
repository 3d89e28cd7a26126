import type {StatementKind} from '../statement-kind.js';

/** `undrain upstream`. */
export const undrainUpstream: StatementKind = {
	verb: 'undrain',
	object: 'upstream',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'undrain', target: 'upstream', name}),
};
