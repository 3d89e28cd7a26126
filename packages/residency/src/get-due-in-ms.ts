import type {UnitNeed} from './unit-need.js';

/** The time until the first request waiting for a unit misses its latency objective, in milliseconds; infinite if none waits. */
export const getDueInMs = ({waits}: UnitNeed): number => Math.min(...waits.map(wait => wait.dueInMs));
