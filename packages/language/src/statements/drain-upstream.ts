import type {StatementKind} from '../statement-kind.js';

/** `drain upstream`. */
export const drainUpstream: StatementKind = {
	verb: 'drain',
	object: 'upstream',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'drain', target: 'upstream', name}),
};
