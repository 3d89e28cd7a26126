import type {StatementKind} from '../statement-kind.js';

/** `drain data centre`. */
export const drainDataCentre: StatementKind = {
	verb: 'drain',
	object: 'data centre',
	owner: '',
	attributes: [],
	perform: ({name}) => ({kind: 'drain', target: 'dataCentre', name}),
};
