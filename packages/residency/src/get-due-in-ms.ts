import type {UnitNeed} from './unit-need.js';

/** Until the first request that waits for a unit misses its objective, in milliseconds. */
export const getDueInMs = ({waits}: UnitNeed): number => Math.min(...waits.map(wait => wait.dueInMs));
