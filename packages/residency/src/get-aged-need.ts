import type {UnitNeed} from './unit-need.js';

/** A need `ageMs` milliseconds after it was reported: the remaining times of its waiting requests are reduced by that time. */
export const getAgedNeed = (need: UnitNeed, ageMs: number): UnitNeed => ({
	...need,
	waits: need.waits.map(wait => ({...wait, dueInMs: wait.dueInMs - ageMs, leavesInMs: wait.leavesInMs - ageMs})),
});
