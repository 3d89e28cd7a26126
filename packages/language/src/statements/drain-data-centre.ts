import type {StatementKind} from '../statement-kind.js';

/** The `drain data centre` statement: stops sending new work to the VMs of a data centre. */
export const drainDataCentre: StatementKind = {
	verb: 'drain',
	object: 'data centre',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'drain', target: 'dataCentre', name}),
};
