import type {WantedUnit} from './wanted-unit.js';

const NOWHERE: ReadonlySet<string> = new Set();

/** A unit that any engine may load. Each field by its name: one is made for each waiting request in each turn, and spreading takes longer. */
export const newWantedUnit = ({service, model, adapter, key}: Pick<WantedUnit, 'service' | 'model' | 'adapter' | 'key'>): WantedUnit => ({
	service, model, adapter, key, needsCopy: false, needsRoom: false, needsShortOfCopies: false, excluded: NOWHERE,
});
