import type {StatementKind} from '../statement-kind.js';

/** The `undrain upstream` statement: allows new work for an upstream again, after it was drained. */
export const undrainUpstream: StatementKind = {
	verb: 'undrain',
	object: 'upstream',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'undrain', target: 'upstream', name}),
};
