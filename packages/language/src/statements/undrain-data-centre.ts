import type {StatementKind} from '../statement-kind.js';

/** The `undrain data centre` statement: allows new work for the VMs of a data centre again, after it was drained. */
export const undrainDataCentre: StatementKind = {
	verb: 'undrain',
	object: 'data centre',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'undrain', target: 'dataCentre', name}),
};
