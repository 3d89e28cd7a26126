import type {StatementKind} from '../statement-kind.js';

/** `undrain data centre`. */
export const undrainDataCentre: StatementKind = {
	verb: 'undrain',
	object: 'data centre',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'undrain', target: 'dataCentre', name}),
};
