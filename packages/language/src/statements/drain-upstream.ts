import type {StatementKind} from '../statement-kind.js';

/** The `drain upstream` statement: stops sending new work to an upstream. */
export const drainUpstream: StatementKind = {
	verb: 'drain',
	object: 'upstream',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'drain', target: 'upstream', name}),
};
