import type {WantedUnit} from './wanted-unit.js';

const NOWHERE: ReadonlySet<string> = new Set();

/** A unit that any engine may load. */
export const newWantedUnit = (unit: Pick<WantedUnit, 'service' | 'model' | 'adapter' | 'key'>): WantedUnit => ({
	...unit, needsCopy: false, needsRoom: false, needsShortOfCopies: false, excluded: NOWHERE,
});
