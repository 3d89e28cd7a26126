import type {UnitNeed} from './unit-need.js';

/** A need as it is some time after it was told. */
export const getAgedNeed = (need: UnitNeed, ageMs: number): UnitNeed => ({
	...need,
	waits: need.waits.map(wait => ({...wait, dueInMs: wait.dueInMs - ageMs, leavesInMs: wait.leavesInMs - ageMs})),
});
